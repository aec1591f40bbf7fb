// Command receivers checks the Go files below the given directories: the receiver
// of every method must be named after its type, in lower camel case. It prints each
// violation, and exits with status 1 if there is one or a file cannot be parsed.
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
	violations := 0
	for _, root := range os.Args[1:] {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") {
				return err
			}
			found, err := check(path)
			violations += found
			return err
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if violations > 0 {
		os.Exit(1)
	}
}

// check prints the misnamed receivers of a file and returns their number.
func check(path string) (int, error) {
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return 0, err
	}
	violations := 0
	for _, declaration := range file.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok || function.Recv == nil || len(function.Recv.List[0].Names) == 0 {
			continue
		}
		name := function.Recv.List[0].Names[0].Name
		if expected := lowerCamel(typeName(function.Recv.List[0].Type)); name != expected {
			fmt.Printf("%s: receiver %s should be %s\n", files.Position(function.Pos()), name, expected)
			violations++
		}
	}
	return violations, nil
}

// typeName returns the name of a receiver's type without pointer and type
// parameters, or an empty string if it has none.
func typeName(expression ast.Expr) string {
	switch node := expression.(type) {
	case *ast.StarExpr:
		return typeName(node.X)
	case *ast.IndexExpr:
		return typeName(node.X)
	case *ast.IndexListExpr:
		return typeName(node.X)
	case *ast.Ident:
		return node.Name
	default:
		return ""
	}
}

// lowerCamel converts the leading capital or initialism of a name to lower case:
// HTTPStore becomes httpStore, and REST becomes rest.
func lowerCamel(name string) string {
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
