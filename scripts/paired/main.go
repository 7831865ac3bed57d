// Command paired plays days of a site on two checkouts of this repository with
// the same seeds and tells whether they differ:
//
//	go run ./scripts/paired --bench PROGRAM --site FILE --days a,b --seeds 10 \
//	    --jobs 4 --out FILE --before DIR --after DIR
//
// A play that is in the out file already is not played again, so that an
// interrupted comparison goes on where it was; the key of a play names its
// checkout's directory, so that a changed checkout wants another out file.
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

// playTimeout bounds one play; the largest sites take about a minute.
const playTimeout = 10 * time.Minute

type options struct {
	bench, site, out, why string
	before, after         string
	days                  []string
	seeds, firstSeed      int
	jobs                  int
	free                  bool
}

// play is one day played on one checkout.
type play struct {
	Dir         string   `json:"dir"`
	Site        string   `json:"site"`
	Day         string   `json:"day"`
	Seed        int      `json:"seed"`
	Worth       float64  `json:"worth"`
	BrokenRules []string `json:"broke,omitempty"` // rules
}

type key struct {
	dir, site, day string
	seed           int
}

func (p play) key() key { return key{p.Dir, p.Site, p.Day, p.Seed} }

func main() {
	var o options
	cmd := &cobra.Command{Use: "paired", Args: cobra.NoArgs, SilenceUsage: true, RunE: func(*cobra.Command, []string) error { return run(o) }}
	f := cmd.Flags()
	f.StringVar(&o.bench, "bench", "", "the program that plays days")
	f.StringVar(&o.site, "site", "", "the site file")
	f.StringVar(&o.out, "out", "", "file of the plays, a JSON object a line")
	f.StringVar(&o.why, "why", "", "what is tried, for the journal")
	f.StringVar(&o.before, "before", "", "checkout to compare with")
	f.StringVar(&o.after, "after", "", "checkout that is compared")
	f.StringSliceVar(&o.days, "days", nil, "days: names or files")
	f.IntVar(&o.seeds, "seeds", 10, "seeds a day")
	f.IntVar(&o.firstSeed, "first-seed", 1000, "the first of the seeds")
	f.IntVar(&o.jobs, "jobs", 4, "plays at once")
	f.BoolVar(&o.free, "no-cpu", false, "do not count processor time")
	for _, name := range []string{"bench", "site", "out", "before", "after", "days"} {
		if err := cmd.MarkFlagRequired(name); err != nil {
			panic(err)
		}
	}
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func run(o options) error {
	done, err := read(o.out)
	if err != nil {
		return err
	}
	if err := playAll(o, done); err != nil {
		return err
	}
	if done, err = read(o.out); err != nil {
		return err
	}
	report(o, done)
	return nil
}

// read returns the plays in the file at path, none if there is no file.
func read(path string) (map[key]play, error) {
	out := map[key]play{}
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
		var p play
		if err := json.Unmarshal(sc.Bytes(), &p); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out[p.key()] = p
	}
	return out, sc.Err()
}

// playAll plays what is not done yet, both checkouts of a pair in turn so that a
// machine whose speed drifts does not favour one of them.
func playAll(o options, done map[key]play) error {
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
				p := play{Dir: dir, Site: o.site, Day: day, Seed: seed}
				if _, ok := done[p.key()]; ok {
					continue
				}
				g.Go(func() error {
					if err := p.play(o); err != nil {
						return err
					}
					line, err := json.Marshal(p)
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

// play plays p and fills in its outcome.
func (p *play) play(o options) error {
	dir, err := os.MkdirTemp("", "paired")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	file := filepath.Join(dir, "report.json")
	args := []string{"run", p.Site, p.Day, "--jobs", "1", "--seed", strconv.Itoa(p.Seed), "--report", file}
	if o.free {
		args = append(args, "--no-cpu")
	}
	if o.why != "" {
		args = append(args, "--why", o.why)
	}
	cmd := exec.Command(o.bench, args...)
	cmd.Dir = p.Dir
	timer := time.AfterFunc(playTimeout, func() { _ = cmd.Process.Kill() })
	defer timer.Stop()
	text, runErr := cmd.CombinedOutput() // it fails for a day that breaks a rule, too
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("%s seed %d in %s: %w: %w\n%s", p.Day, p.Seed, p.Dir, runErr, err, text)
	}
	var rep struct {
		G      float64
		Breaks map[string]json.RawMessage
	}
	if err := json.Unmarshal(data, &rep); err != nil {
		return err
	}
	p.Worth = rep.G
	for rule := range rep.Breaks {
		p.BrokenRules = append(p.BrokenRules, rule)
	}
	return nil
}

// report prints a row a day and one for all.
func report(o options, done map[key]play) {
	fmt.Printf("%-24s %5s %7s %7s %8s %8s %7s %6s %s\n", "day", "pairs", "before", "after", "change", "+-", "spread", "counts", "rules broken, before / after")
	var all []paired.Pair
	for _, day := range o.days {
		var pairs []paired.Pair
		var broke [2][]string
		for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
			b, okB := done[key{o.before, o.site, day, seed}]
			a, okA := done[key{o.after, o.site, day, seed}]
			if !okB || !okA {
				continue
			}
			pairs = append(pairs, paired.Pair{Before: b.Worth, After: a.Worth})
			broke[0], broke[1] = append(broke[0], named(b)...), append(broke[1], named(a)...)
		}
		row(strings.TrimSuffix(filepath.Base(day), ".toml"), paired.Compare(pairs), broke)
		all = append(all, pairs...)
	}
	r := paired.Compare(all)
	row("all", r, [2][]string{})
	fmt.Printf("pairs needed for 0.02: %d, for 0.05: %d\n", r.PairsNeeded(0.02), r.PairsNeeded(0.05))
}

func named(p play) []string {
	slices.Sort(p.BrokenRules)
	if len(p.BrokenRules) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%s@%d", strings.Join(p.BrokenRules, "+"), p.Seed)}
}

func row(name string, r paired.Result, broke [2][]string) {
	counts := "no"
	if r.Significant() {
		counts = "yes"
	}
	fmt.Printf("%-24s %5d %7.3f %7.3f %+8.3f %8.3f %7.3f %6s %s / %s\n", name, r.Pairs, r.Before, r.After, r.Difference, r.HalfWidth, r.StdDev, counts,
		strings.Join(broke[0], " "), strings.Join(broke[1], " "))
}
