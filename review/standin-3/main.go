// Command bed plays the scripted cases of the third review; see ../REPORT-3.md.
package main

import (
	"fmt"
	"os"
)

func main() {
	cases := map[string]func(trouble bool) int{"inplace": caseInplace, "reset": caseReset, "stop": caseStop, "answers": caseAnswers, "late": caseLate}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
