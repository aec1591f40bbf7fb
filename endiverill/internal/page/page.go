// Package page embeds the operators' manual, one Markdown page per topic, so that
// the help command needs no other files.
package page

import (
	"embed"
	"sort"
	"strings"
)

//go:embed pages/*.md
var files embed.FS

// Topics returns the topics that have a page, sorted.
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

// Read returns the Markdown of a topic's page, or fs.ErrNotExist if there is none.
func Read(topic string) (string, error) {
	data, err := files.ReadFile("pages/" + topic + ".md")
	return string(data), err
}
