// Package page holds the operators' pages, one Markdown file a topic.
package page

import (
	"embed"
	"sort"
	"strings"
)

//go:embed pages/*.md
var files embed.FS

// Topics returns the names of the pages, sorted.
func Topics() ([]string, error) {
	entries, err := files.ReadDir("pages")
	if err != nil {
		return nil, err
	}
	var topics []string
	for _, entry := range entries {
		topics = append(topics, strings.TrimSuffix(entry.Name(), ".md"))
	}
	sort.Strings(topics)
	return topics, nil
}

// Read returns a page; a topic without one is fs.ErrNotExist.
func Read(topic string) (string, error) {
	data, err := files.ReadFile("pages/" + topic + ".md")
	return string(data), err
}
