package command

import (
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"berylward.example/berylward/internal/publication"
	"berylward.example/berylward/pkg/site"
)

func newDeclare() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "declare",
		Short: "Check, render, compare, explain and publish declarations",
		Long: "Check, render, compare, explain and publish declarations: a base file and the overlay of one site.\n" +
			"Progress of work that takes longer than a second goes to standard error.",
	}
	cmd.AddCommand(newDeclareCheck(), newDeclareRender(), newDeclareDiff(), newDeclareExplain(), newDeclareSchema(),
		newDeclarePublish())
	return cmd
}

// declarationFiles names the two files of a site's declarations.
type declarationFiles struct{ base, overlay string }

// register defines the settings. The examples are not the default here, because their keys are public.
func (f *declarationFiles) register(s *settings) {
	s.stringVar(&f.base, "base", "a file", "base file of the declarations")
	s.stringVar(&f.overlay, "overlay", "a file", "overlay of the site")
	s.require("base")
	s.require("overlay")
}

// load reads both files. If neither can be read, the error reports both.
func (f *declarationFiles) load(progress io.Writer) (*site.LoadedDeclarations, error) {
	defer startProgress(progress, "reading "+f.base+" and "+f.overlay)()
	b, baseErr := readSource(f.base)
	o, overlayErr := readSource(f.overlay)
	if err := errors.Join(baseErr, overlayErr); err != nil {
		return nil, err
	}
	return site.LoadSources(b, o)
}

func readSource(file string) (site.Source, error) {
	data, err := os.ReadFile(file)
	return site.Source{Name: file, Data: data}, err
}

// progressDelay is the duration after which progress is reported; shorter work writes nothing.
const progressDelay = time.Second

// startProgress writes the activity once it has taken longer than progressDelay. The caller calls the returned function
// when the activity ends.
func startProgress(w io.Writer, activity string) func() {
	timer := time.AfterFunc(progressDelay, func() { _, _ = fmt.Fprintln(w, activity) })
	return func() { timer.Stop() }
}

// valueProgress returns a publication.ProgressFunc that writes at most one line in each progressDelay.
func valueProgress(w io.Writer, activity string) publication.ProgressFunc {
	var last atomic.Int64
	start := time.Now()
	return func(done, total int) {
		if passed := int64(time.Since(start) / progressDelay); passed > last.Swap(passed) {
			_, _ = fmt.Fprintf(w, "%s: %d of %d values\n", activity, done, total)
		}
	}
}

func newDeclareCheck() *cobra.Command {
	var f declarationFiles
	cmd := &cobra.Command{
		Use:   "check",
		Short: "Check a base file with an overlay and print all problems",
		Long: "Check a base file with an overlay. Each problem is one line: file, line and column, path, what was found and\n" +
			"what is allowed. The exit status is 1 when there is a problem.",
		Args: cobra.NoArgs,
	}
	s := newSettings(cmd)
	f.register(s)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		loaded, err := f.load(cmd.ErrOrStderr())
		if err == nil {
			// Some limits, such as the size of a shard, can only be checked after rendering.
			stop := startProgress(cmd.ErrOrStderr(), "rendering")
			_, err = publication.Render(loaded.Declarations, 1)
			stop()
		}
		var failure *site.Error
		if errors.As(err, &failure) && len(failure.Problems) > 0 {
			for _, p := range failure.Problems {
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), p)
			}
			return errors.Errorf("%d problem(s)", len(failure.Problems))
		}
		if err != nil {
			return err
		}
		d := loaded.Declarations
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: valid; %d zones, %d models, %d services, %d workspaces\n",
			d.Site.Name, len(d.Zones), len(d.Models), len(d.Services), len(d.Workspaces))
		return err
	}
	return cmd
}

func newDeclareRender() *cobra.Command {
	var f declarationFiles
	var out, previous string
	generation := 0
	cmd := &cobra.Command{
		Use:   "render",
		Short: "Render declarations into a folder of values with one generation number",
		Long: "Render declarations into a folder: one file for each value of the configuration service, named after the value.\n" +
			"The generation number must be greater than that of any published generation.",
		Args: cobra.NoArgs,
	}
	s := newSettings(cmd)
	f.register(s)
	s.stringVar(&out, "out", "a folder that does not exist or is empty", "output folder")
	s.intVar(&generation, "generation", "generation number, from 1")
	s.stringVar(&previous, "previous", "a rendered folder", "folder of the published generation; the new generation gets the next number and continues its epochs of booking owners")
	s.require("out")
	s.checks = append(s.checks, func() *InvalidSetting {
		if (generation == 0) == (previous == "") {
			return &InvalidSetting{Setting: "generation", Value: fmt.Sprint(generation), Expected: "a whole number from 1, or --previous instead"}
		}
		return nil
	})
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		number := uint64(generation)
		var opts []site.RenderOption
		if previous != "" {
			previousGen, err := publication.Read(previous)
			if err != nil {
				return err
			}
			number = previousGen.Manifest.Generation + 1
			opts = append(opts, site.WithPrevious(previousGen.Manifest, previousGen.Declarations))
		}
		loaded, err := f.load(cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		stop := startProgress(cmd.ErrOrStderr(), fmt.Sprintf("rendering generation %d", number))
		g, err := publication.Render(loaded.Declarations, number, opts...)
		stop()
		if err != nil {
			return err
		}
		if err := publication.Write(out, g, valueProgress(cmd.ErrOrStderr(), "writing")); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: generation %d in %d values\n", out, number, len(g.Shards)+1)
		return err
	}
	return cmd
}

func newDeclareDiff() *cobra.Command {
	var base string
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Describe the effects of a change of declarations",
		Long: "Describe the effects of a change of the declarations from OLD to NEW. Each is an overlay file, which is merged\n" +
			"with the base file, or a folder written by declare render.",
		Args: cobra.ExactArgs(2),
	}
	s := newSettings(cmd)
	s.stringVar(&base, "base", "a file", "base file of the declarations, for overlays")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		old, oldErr := declarationsAt(cmd.ErrOrStderr(), base, args[0])
		next, nextErr := declarationsAt(cmd.ErrOrStderr(), base, args[1])
		if err := errors.Join(oldErr, nextErr); err != nil {
			return err
		}
		changes := site.Diff(old, next)
		for _, c := range changes {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), c)
		}
		if len(changes) == 0 {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), "nothing changes")
		}
		return nil
	}
	return cmd
}

// declarationsAt returns the declarations of an overlay file or a rendered folder.
func declarationsAt(progress io.Writer, base, name string) (*site.Declarations, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.IsDir() {
		g, err := publication.Read(name)
		return g.Declarations, err
	}
	if base == "" {
		return nil, &SettingsError{Problems: []InvalidSetting{{Setting: "base", Expected: "a file, because " + name + " is an overlay"}}}
	}
	loaded, err := (&declarationFiles{base: base, overlay: name}).load(progress)
	if err != nil {
		return nil, err
	}
	return loaded.Declarations, nil
}

func newDeclareExplain() *cobra.Command {
	var f declarationFiles
	cmd := &cobra.Command{
		Use:   "explain [PATH]",
		Short: "Show the source of each value at or below a path",
		Long: "Show the source of each value at or below a dotted path, such as models.office-8b: file and line, the value of the\n" +
			"base file that it replaces, or a default. Without a path, the source of every value is shown.",
		Args: cobra.MaximumNArgs(1),
	}
	s := newSettings(cmd)
	f.register(s)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		loaded, err := f.load(cmd.ErrOrStderr())
		if err != nil {
			return err
		}
		path := ""
		if len(args) > 0 {
			path = args[0]
		}
		explanations, err := loaded.Explain(path)
		if err != nil {
			return err
		}
		for _, e := range explanations {
			_, _ = fmt.Fprintln(cmd.OutOrStdout(), e)
		}
		return nil
	}
	return cmd
}

func newDeclareSchema() *cobra.Command {
	return &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON schema of declaration files",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			schema, err := site.Schema()
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(schema)
			return err
		},
	}
}

func newDeclarePublish() *cobra.Command {
	var address netip.AddrPort
	cmd := &cobra.Command{
		Use:   "publish FOLDER",
		Short: "Publish a rendered folder to a stand-in platform on loopback",
		Long: "Publish a rendered folder to a stand-in platform on loopback: shards first, manifest last. A real configuration\n" +
			"service has its own tool, which writes each file of the folder as the value of the same name.",
		Args: cobra.ExactArgs(1),
	}
	s := newSettings(cmd)
	s.textVar(&address, "platform", addressFormat, "address of the stand-in platform")
	s.require("platform")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		g, err := publication.Read(args[0])
		if err != nil {
			return err
		}
		if err := publication.Publish(cmd.Context(), address, g, valueProgress(cmd.ErrOrStderr(), "publishing")); err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "generation %d is published\n", g.Manifest.Generation)
		return err
	}
	return cmd
}
