package submission

import (
	"strconv"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// HeadPrefixes returns the prefixes of the keys of all heads.
func HeadPrefixes() []string { return prefixes(HeadsTable) }

// ResultPrefixes returns the prefixes of the keys of all results.
func ResultPrefixes() []string { return prefixes(ResultsTable) }

func prefixes(table string) []string {
	out := make([]string, partitions)
	for i := range out {
		out[i] = table + "/" + strconv.Itoa(i) + "/"
	}
	return out
}

// ObjectNames returns the names of the objects that may belong to a row of a head
// or a result; not each of them need exist.
func ObjectNames(row platform.Row) []string {
	if strings.HasPrefix(row.Key, HeadsTable+"/") {
		h, err := DecodeHead(row)
		if err != nil {
			return nil // it names none
		}
		out := []string{specName(h.ID, h.Customer), progressName(h.ID, row.Version)}
		if h.ProgressToken != 0 {
			out = append(out, progressName(h.ID, h.ProgressToken))
		}
		return out
	}
	s, err := decodeStored(row)
	if err != nil || s.Object == "" {
		return nil
	}
	return []string{s.Object}
}
