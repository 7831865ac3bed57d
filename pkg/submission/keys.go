package submission

import (
	"strconv"
	"strings"

	"github.com/zinnialadder/zinnialadder/pkg/platform"
)

// HeadPrefixes returns the key prefixes of all heads, one for each partition.
func HeadPrefixes() []string { return prefixes(HeadsTable) }

// ResultPrefixes returns the key prefixes of all results, one for each partition.
func ResultPrefixes() []string { return prefixes(ResultsTable) }

func prefixes(table string) []string {
	out := make([]string, partitions)
	for i := range out {
		out[i] = table + "/" + strconv.Itoa(i) + "/"
	}
	return out
}

// ObjectNames returns the names of the objects that a head's or a result's row may
// refer to. Not all of them need exist.
func ObjectNames(row platform.Row) []string {
	if strings.HasPrefix(row.Key, HeadsTable+"/") {
		h, err := DecodeHead(row)
		if err != nil {
			return nil // a malformed row refers to no object
		}
		out := []string{specName(h.ID, h.Customer), progressName(h.ID, row.Version), h.CarryoverKey().ObjectName()}
		if h.ProgressToken != 0 {
			out = append(out, progressName(h.ID, h.ProgressToken))
		}
		return out
	}
	s, err := decodeStoredResult(row)
	if err != nil || s.Object == "" {
		return nil
	}
	return []string{s.Object}
}
