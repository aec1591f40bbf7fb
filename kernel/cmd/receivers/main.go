// Command receivers checks that every method's receiver carries its type's name
// in lower case.
package main

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"unicode"
)

func main() {
	faults := 0
	for _, root := range os.Args[1:] {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			found, err := check(path)
			faults += found
			return err
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if faults > 0 {
		os.Exit(1)
	}
}

// check prints the receivers of a file that are named otherwise.
func check(path string) (int, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return 0, err
	}
	faults := 0
	for _, declared := range file.Decls {
		function, ok := declared.(*ast.FuncDecl)
		if !ok || function.Recv == nil || len(function.Recv.List[0].Names) == 0 {
			continue
		}
		name := function.Recv.List[0].Names[0].Name
		if want := lower(typeName(function.Recv.List[0].Type)); name != want {
			fmt.Printf("%s: receiver %s should be %s\n", files.Position(function.Pos()), name, want)
			faults++
		}
	}
	return faults, nil
}

func typeName(expression ast.Expr) string {
	switch typed := expression.(type) {
	case *ast.StarExpr:
		return typeName(typed.X)
	case *ast.IndexExpr:
		return typeName(typed.X)
	case *ast.IndexListExpr:
		return typeName(typed.X)
	case *ast.Ident:
		return typed.Name
	default:
		return ""
	}
}

// lower turns the leading capitals of a name to lower case: HTTPStore becomes
// httpStore, and REST becomes rest.
func lower(name string) string {
	runes := []rune(name)
	for index := range runes {
		last := index+1 == len(runes)
		if index > 0 && !last && unicode.IsLower(runes[index+1]) {
			break
		}
		if !unicode.IsUpper(runes[index]) {
			break
		}
		runes[index] = unicode.ToLower(runes[index])
	}
	return string(runes)
}
