// Command paired lets a bench program run days of a site on two checkouts of this
// repository with the same seeds, and prints whether their results differ:
//
//	go run ./scripts/paired --bench PROGRAM --site FILE --days a,b --seeds 10 \
//	    --jobs 4 --out FILE --before DIR --after DIR
//
// A run whose result is in the out file is not repeated, so that an interrupted
// comparison can be continued. Results are identified by the directory of the checkout
// and not by its content, so that a changed checkout needs another out file.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"github.com/zinnialadder/zinnialadder/internal/paired"
)

// runTimeout limits one run; the largest sites take about a minute.
const runTimeout = 10 * time.Minute

// options holds the command-line flags.
type options struct {
	bench, site, out, why string
	before, after         string
	days                  []string
	seeds, firstSeed      int
	jobs                  int
	noCPU                 bool
}

// dayRun is a run of one day with one checkout, and its result.
type dayRun struct {
	Dir         string   `json:"dir"`
	Site        string   `json:"site"`
	Day         string   `json:"day"`
	Seed        int      `json:"seed"`
	Worth       float64  `json:"worth"`           // result of the run, G in the report of the bench program
	BrokenRules []string `json:"broke,omitempty"` // names of the rules that the run broke
}

// runKey identifies a dayRun.
type runKey struct {
	dir, site, day string
	seed           int
}

func (r dayRun) key() runKey { return runKey{r.Dir, r.Site, r.Day, r.Seed} }

func main() {
	var o options
	cmd := &cobra.Command{Use: "paired", Args: cobra.NoArgs, SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run(o) }}
	f := cmd.Flags()
	f.StringVar(&o.bench, "bench", "", "program that runs days")
	f.StringVar(&o.site, "site", "", "site file")
	f.StringVar(&o.out, "out", "", "file of the results, one JSON object per line")
	f.StringVar(&o.why, "why", "", "reason for the comparison, for the journal")
	f.StringVar(&o.before, "before", "", "directory of the checkout that is the baseline")
	f.StringVar(&o.after, "after", "", "directory of the checkout that is compared with it")
	f.StringSliceVar(&o.days, "days", nil, "days, by name or file")
	f.IntVar(&o.seeds, "seeds", 10, "seeds per day")
	f.IntVar(&o.firstSeed, "first-seed", 1000, "first seed")
	f.IntVar(&o.jobs, "jobs", 4, "runs at once")
	f.BoolVar(&o.noCPU, "no-cpu", false, "do not count CPU time")
	for _, name := range []string{"bench", "site", "out", "before", "after", "days"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

// run runs the missing days and prints the comparison.
func run(o options) error {
	done, err := read(o.out)
	if err != nil {
		return err
	}
	if err := runMissing(o, done); err != nil {
		return err
	}
	if done, err = read(o.out); err != nil {
		return err
	}
	printReport(o, done)
	return nil
}

// read returns the results in the file at path, or none if there is no file.
func read(path string) (map[runKey]dayRun, error) {
	out := map[runKey]dayRun{}
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	sc := bufio.NewScanner(f)
	for sc.Scan() {
		var r dayRun
		if err := json.Unmarshal(sc.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out[r.key()] = r
	}
	return out, sc.Err()
}

// runMissing runs the days that have no result in done and appends their results to the
// out file. The two checkouts take turns, so that a machine whose speed changes over time
// does not favour one of them.
func runMissing(o options, done map[runKey]dayRun) error {
	out, err := os.OpenFile(o.out, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(o.jobs)
	for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
		for _, day := range o.days {
			for _, dir := range []string{o.before, o.after} {
				r := dayRun{Dir: dir, Site: o.site, Day: day, Seed: seed}
				if _, ok := done[r.key()]; ok {
					continue
				}
				g.Go(func() error {
					if err := r.run(o); err != nil {
						return err
					}
					line, err := json.Marshal(r)
					if err != nil {
						return err
					}
					mu.Lock()
					defer mu.Unlock()
					_, err = out.Write(append(line, '\n'))
					return err
				})
			}
		}
	}
	return g.Wait()
}

var errNoReport = errors.New("bench program succeeded, but there is no report")

// run runs the day and sets the result in r.
func (r *dayRun) run(o options) error {
	dir, err := os.MkdirTemp("", "paired")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "report.json")
	args := []string{"run", r.Site, r.Day, "--jobs", "1", "--seed", strconv.Itoa(r.Seed), "--report", file}
	if o.noCPU {
		args = append(args, "--no-cpu")
	}
	if o.why != "" {
		args = append(args, "--why", o.why)
	}
	cmd := exec.Command(o.bench, args...)
	cmd.Dir = r.Dir
	timer := time.AfterFunc(runTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	text, runErr := cmd.CombinedOutput() // fails also if the day breaks a rule, which is in the report
	data, err := os.ReadFile(file)
	if err != nil {
		if runErr == nil {
			runErr = errNoReport
		}
		return fmt.Errorf("%s seed %d in %s: %w: %w\n%s", r.Day, r.Seed, r.Dir, runErr, err, text)
	}
	var rep struct {
		G      float64
		Breaks map[string]json.RawMessage
	}
	if err := json.Unmarshal(data, &rep); err != nil {
		return err
	}
	r.Worth = rep.G
	for rule := range rep.Breaks {
		r.BrokenRules = append(r.BrokenRules, rule)
	}
	return nil
}

// printReport prints a row for each day and one for all of them.
func printReport(o options, done map[runKey]dayRun) {
	fmt.Printf("%-24s %5s %7s %7s %8s %8s %7s %6s %s\n", "day", "pairs", "before", "after", "change", "+-", "spread", "counts", "rules broken, before / after")
	var all []paired.Pair
	for _, day := range o.days {
		var pairs []paired.Pair
		var broken [2][]string
		for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
			b, okB := done[runKey{o.before, o.site, day, seed}]
			a, okA := done[runKey{o.after, o.site, day, seed}]
			if !okB || !okA {
				continue
			}
			pairs = append(pairs, paired.Pair{Before: b.Worth, After: a.Worth})
			broken[0], broken[1] = append(broken[0], formatBroken(b)...), append(broken[1], formatBroken(a)...)
		}
		printRow(strings.TrimSuffix(filepath.Base(day), ".toml"), paired.Compare(pairs), broken)
		all = append(all, pairs...)
	}
	r := paired.Compare(all)
	printRow("all", r, [2][]string{})
	fmt.Printf("pairs needed for 0.02: %d, for 0.05: %d\n", r.PairsNeeded(0.02), r.PairsNeeded(0.05))
}

// formatBroken returns the broken rules of r and its seed, or nil if there are none. It
// sorts r.BrokenRules.
func formatBroken(r dayRun) []string {
	slices.Sort(r.BrokenRules)
	if len(r.BrokenRules) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s@%d", strings.Join(r.BrokenRules, "+"), r.Seed)}
}

// printRow prints the comparison of a day, with the rules broken by the two checkouts.
func printRow(name string, r paired.Result, broken [2][]string) {
	counts := "no"
	if r.Significant() {
		counts = "yes"
	}
	fmt.Printf("%-24s %5d %7.3f %7.3f %+8.3f %8.3f %7.3f %6s %s / %s\n", name, r.Pairs, r.Before, r.After, r.Difference, r.HalfWidth, r.StdDev, counts,
		strings.Join(broken[0], " "), strings.Join(broken[1], " "))
}
