package boxlist

import (
	"bytes"

	"github.com/juju/errors"
)

// errNoList means that a response is no array.
const errNoList = errors.ConstError("no array")

// jsonSpace holds the white space of JSON.
const jsonSpace = " \t\r\n"

// splitRows returns the texts of the elements of an array. It looks at brackets and strings alone, because
// the decoder refuses a whole list for one row that it can't read.
func splitRows(list []byte) ([][]byte, error) {
	list = bytes.Trim(list, jsonSpace)
	if len(list) < 2 || list[0] != '[' || list[len(list)-1] != ']' {
		return nil, errNoList
	}
	list = list[1 : len(list)-1]
	var rows [][]byte
	depth, start, quoted := 0, 0, false
	for i := 0; i < len(list); i++ {
		switch c := list[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '[' || c == '{':
			depth++
		case c == ']' || c == '}':
			depth--
		case c == ',' && depth == 0:
			rows = append(rows, list[start:i])
			start = i + 1
		}
		if depth < 0 {
			return nil, errNoList
		}
	}
	if depth != 0 || quoted {
		return nil, errNoList
	}
	if len(rows) == 0 && len(bytes.Trim(list, jsonSpace)) == 0 {
		return nil, nil
	}
	return append(rows, list[start:]), nil
}
