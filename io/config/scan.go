package config

import (
	"bytes"
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2/unstable"
)

// maxSyntaxErrors bounds the syntax errors reported for one file. The parser restarts
// after each one, and a single unclosed quote may cause many.
const maxSyntaxErrors = 20

// scanner iterates over the statements of a TOML file. After a syntax error
// it continues at the next line, so that all errors are found in one pass.
type scanner struct {
	file     string
	data     []byte
	newlines []int // offsets of the newlines
	parser   unstable.Parser
	base     int // offset in data at which the parser's input starts
	errors   int
}

// newScanner returns a scanner of the content of a file.
func newScanner(file string, data []byte) *scanner {
	s := &scanner{file: file, data: data}
	for i, c := range data {
		if c == '\n' {
			s.newlines = append(s.newlines, i)
		}
	}
	s.parser.Reset(data)
	return s
}

// next returns the next statement, or a syntax error and its line. At the end of the file it returns nil and no error.
func (s *scanner) next() (*unstable.Node, int, error) {
	if s.parser.NextExpression() {
		return s.parser.Expression(), 0, nil
	}
	err := s.parser.Error()
	if err == nil {
		return nil, 0, nil
	}
	offset := s.base
	if perr := (*unstable.ParserError)(nil); errors.As(err, &perr) {
		offset += int(s.parser.Range(perr.Highlight).Offset)
	}
	line := s.line(offset)
	s.restart(offset)
	return nil, line, err
}

// restart moves the parser to the line after offset.
func (s *scanner) restart(offset int) {
	s.errors++
	end := bytes.IndexByte(s.data[offset:], '\n')
	if end < 0 || s.errors >= maxSyntaxErrors {
		s.base = len(s.data)
	} else {
		s.base = offset + end + 1
	}
	s.parser.Reset(s.data[s.base:])
}

// line returns the line number of an offset in data, counted from 1.
func (s *scanner) line(offset int) int {
	i, _ := slices.BinarySearch(s.newlines, offset)
	return i + 1
}

// location returns the location of a node, which must have a position.
func (s *scanner) location(n *unstable.Node) Location {
	return Location{File: s.file, Line: s.line(s.base + int(n.Raw.Offset))}
}
