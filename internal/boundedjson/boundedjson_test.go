package boundedjson_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/zinnialadder/zinnialadder/internal/boundedjson"
)

// nested returns a value of arrays or objects that is nested depth levels deep.
func nested(opening, closing string, depth int) string {
	return strings.Repeat(opening, depth) + "1" + strings.Repeat(closing, depth)
}

// Guards against a value whose nesting ends the process, in a field that is decoded or one that is
// not, complete or not, and against deep values that are refused though they do no harm.
func TestDepthIsLimited(t *testing.T) {
	const deep = 4_000_000
	for name, c := range map[string]struct {
		data string
		ok   bool
	}{
		"arrays":             {nested("[", "]", deep), false},
		"objects":            {nested(`{"a":`, "}", deep), false},
		"arrays and objects": {nested(`[{"a":`, "}]", deep/2), false},
		"not closed":         {strings.Repeat("[", deep), false},
		"unknown field":      {`{"other":` + nested("[", "]", deep) + `}`, false},
		"after a string":     {`{"other":"\\",` + `"x":` + nested("[", "]", deep) + `}`, false},
		"spaces between":     {strings.Repeat("[ \n", deep), false},
		"at the limit":       {nested("[", "]", boundedjson.MaxDepth), true},
		"over the limit":     {nested("[", "]", boundedjson.MaxDepth+1), false},
		"brackets in string": {`{"other":"` + strings.Repeat(`[{\"`, deep) + `"}`, true},
		"wide":               {"[" + strings.Repeat("[],", deep) + "[]]", true},
	} {
		var v any
		var depth *boundedjson.DepthError
		if err := boundedjson.Unmarshal([]byte(c.data), &v); (err == nil) != c.ok || errors.As(err, &depth) == c.ok {
			t.Errorf("%s: %v, want accepted = %v", name, err, c.ok)
		}
		var fields struct{ A int }
		if err := boundedjson.Unmarshal([]byte(c.data), &fields); errors.As(err, &depth) == c.ok {
			t.Errorf("%s as fields: %v, want too deep = %v", name, err, !c.ok)
		}
	}
}

// FuzzUnmarshal checks that what the standard library accepts within the depth is accepted with
// the same value.
func FuzzUnmarshal(f *testing.F) {
	f.Add([]byte(`{"a":[1,"[\"{",{"b":null}]}`))
	f.Add([]byte(`"\\"`))
	f.Add([]byte(nested("[", "]", boundedjson.MaxDepth+1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want any
		err := boundedjson.Unmarshal(data, &got)
		if json.Unmarshal(data, &want) != nil {
			return
		}
		var depth *boundedjson.DepthError
		if err == nil && !reflect.DeepEqual(got, want) || err != nil && !errors.As(err, &depth) {
			t.Fatalf("%q: %v, %v, want %v", data, got, err, want)
		}
	})
}
