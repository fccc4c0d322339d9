package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/docs/schemas"
	"skylarkhinge.dev/skylarkhinge/internal/documents"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

func addDocument(r *Registry) {
	group := r.App.Command("document", "Check, read and change the documents of services.")
	addDocumentValidate(r, group)
	addDocumentGet(r, group)
	addDocumentPut(r, group)
	addDocumentOutcome(r, group)
	addDocumentHistory(r, group)
	schema := group.Command("schema", "Print the JSON Schema of documents.")
	r.Add(schema, func(context.Context) error {
		_, err := r.Env.Stdout.Write(schemas.Document)
		return err
	})
}

// withStore calls run with a connection to the store that the flags select, within the
// timeout of the flags.
func withStore(ctx context.Context, env *Environment, flags *platformFlags, run func(context.Context, metastore.Store) error) error {
	options, err := flags.options(env)
	if err != nil {
		return err
	}
	store, closeStore, err := env.Connect(options)
	if err != nil {
		return err
	}
	defer closeStore()
	limited, cancel := context.WithTimeout(ctx, flags.timeout)
	defer cancel()
	return run(limited, store)
}

func readDocument(env *Environment, file string) (*config.Document, error) {
	data, err := readInput(env, file, config.MaxDocumentBytes)
	if err != nil {
		return nil, err
	}
	document, err := config.DecodeDocument(data)
	return document, faultError(file, err)
}

// faultError converts a *config.Error into an *ExitError with one detail per fault. Other
// errors are returned unchanged.
func faultError(file string, err error) error {
	var faults *config.Error
	if !errors.As(err, &faults) {
		return err
	}
	exit := &ExitError{Code: ExitFailed, Err: fmt.Errorf("%s has %d faults", inputName(file), len(faults.Faults)+faults.Omitted)}
	for _, fault := range faults.Faults {
		exit.Details = append(exit.Details, fault.String())
	}
	if faults.Omitted > 0 {
		exit.Details = append(exit.Details, fmt.Sprintf("%d more faults", faults.Omitted))
	}
	return exit
}

func addDocumentValidate(r *Registry, group *kingpin.CmdClause) {
	command := group.Command("validate", "Check a document and print all its faults.")
	file := command.Arg("file", "Document, or - for standard input.").Required().String()
	r.Add(command, func(context.Context) error {
		document, err := readDocument(r.Env, *file)
		if err != nil {
			return err
		}
		fmt.Fprintf(r.Env.Stdout, "service=%s ranks=%d classes=%d databases=%d valid=true\n",
			document.Service, len(document.Ranks), len(document.Classes), len(document.Databases))
		return nil
	})
}

func addDocumentGet(r *Registry, group *kingpin.CmdClause) {
	command := group.Command("get", "Print a service's document to standard output and its revision to standard error.")
	service := command.Arg("service", "Name of the service.").Required().String()
	revisionNumber := command.Flag("revision", "Print this revision, if it is still kept, instead of the one in force.").Uint64()
	flags := addPlatformFlags(command)
	r.Add(command, func(ctx context.Context) error {
		return withStore(ctx, r.Env, flags, func(ctx context.Context, store metastore.Store) error {
			revisions, err := documents.History(ctx, store, *service)
			if err != nil {
				return err
			}
			for i := range revisions {
				if *revisionNumber == 0 || revisions[i].Number == *revisionNumber {
					return printRevision(r.Env, &revisions[i])
				}
			}
			return fmt.Errorf("revision %d is not among the %d kept", *revisionNumber, len(revisions))
		})
	})
}

func printRevision(env *Environment, revision *documents.Revision) error {
	var text bytes.Buffer
	if err := json.Indent(&text, revision.Raw, "", "  "); err != nil {
		return err
	}
	fmt.Fprintln(env.Stderr, describeRevision(revision))
	_, err := fmt.Fprintln(env.Stdout, text.String())
	return err
}

func describeRevision(revision *documents.Revision) string {
	return fmt.Sprintf("revision=%d time=%s author=%q edit=%s",
		revision.Number, revision.Time.Format(time.RFC3339), revision.Author, revision.ID)
}

func addDocumentPut(r *Registry, group *kingpin.CmdClause) {
	command := group.Command("put", "Replace a service's document. The exit code is 0 if it is in force, 3 if it was not applied, 4 if that is unknown.")
	file := command.Arg("file", "Document, or - for standard input.").Required().String()
	from := command.Flag("from", "Revision that the edit is based on; 0 for the first document of a service.").Required().Uint64()
	author := command.Flag("author", "Name kept with the edit.").Envar("USER").Required().String()
	edit := command.Flag("edit", "Id of an earlier put that ended as unknown, to continue it.").String()
	wait := command.Flag("wait", "Wait until the revision is in force on all proxies of the platform's list, and show each.").Bool()
	flags := addPlatformFlags(command)
	r.Add(command, func(ctx context.Context) error {
		document, err := readDocument(r.Env, *file)
		if err != nil {
			return err
		}
		return withStore(ctx, r.Env, flags, func(ctx context.Context, store metastore.Store) error {
			options := documents.DefaultOptions(*author, rand.Uint64())
			options.EditID = *edit
			result := documents.Put(ctx, store, document, *from, options)
			if err := reportResult(r.Env, flags, result); err != nil || !*wait {
				return err
			}
			return awaitRollout(ctx, r.Env, &peerFlags{platform: flags}, document.Service, result.Revision)
		})
	})
}

func addDocumentOutcome(r *Registry, group *kingpin.CmdClause) {
	command := group.Command("outcome", "Ask for the outcome of a put that ended as unknown. The exit codes are those of put.")
	service := command.Arg("service", "Name of the service.").Required().String()
	edit := command.Flag("edit", "Id that put printed.").Required().String()
	from := command.Flag("from", "Revision that the edit was based on.").Required().Uint64()
	flags := addPlatformFlags(command)
	r.Add(command, func(ctx context.Context) error {
		return withStore(ctx, r.Env, flags, func(ctx context.Context, store metastore.Store) error {
			return reportResult(r.Env, flags, documents.Outcome(ctx, store, *service, *edit, *from))
		})
	})
}

// reportResult prints the result of an edit that is in force, and returns any other result
// as an error.
func reportResult(env *Environment, flags *platformFlags, result documents.Result) error {
	switch result.Status {
	case documents.StatusInForce:
		fmt.Fprintf(env.Stdout, "service=%s status=in_force revision=%d edit=%s", result.Service, result.Revision, result.EditID)
		if result.CurrentRevision != result.Revision {
			fmt.Fprintf(env.Stdout, " replaced_by=%d", result.CurrentRevision)
		}
		_, err := fmt.Fprintln(env.Stdout)
		return err
	case documents.StatusNotApplied:
		return &ExitError{Code: ExitNotApplied, Err: notAppliedError(result), Details: differenceLines(result)}
	default:
		return &ExitError{Code: ExitUnknown, Err: fmt.Errorf("unknown whether the edit was applied: %w", result.Err),
			Details: []string{"ask again: " + result.OutcomeCommand() + flags.commandLine()}}
	}
}

func notAppliedError(result documents.Result) error {
	if !errors.Is(result.Err, documents.ErrConflict) {
		return fmt.Errorf("not applied: %w", result.Err)
	}
	return fmt.Errorf("not applied: %w: based on revision %d, in force is revision %d by %q",
		result.Err, result.ExpectedRevision, result.CurrentRevision, result.CurrentAuthor)
}

func differenceLines(result documents.Result) []string {
	var lines []string
	for _, difference := range result.ConcurrentChanges {
		lines = append(lines, fmt.Sprintf("changed since revision %d: %v", result.ExpectedRevision, difference))
	}
	for _, difference := range result.DiffFromCurrent {
		lines = append(lines, fmt.Sprintf("yours differs from revision %d: %v", result.CurrentRevision, difference))
	}
	return lines
}

func addDocumentHistory(r *Registry, group *kingpin.CmdClause) {
	command := group.Command("history", "Print the kept revisions of a document, newest first, with the fields that each changed.")
	service := command.Arg("service", "Name of the service.").Required().String()
	flags := addPlatformFlags(command)
	r.Add(command, func(ctx context.Context) error {
		return withStore(ctx, r.Env, flags, func(ctx context.Context, store metastore.Store) error {
			revisions, err := documents.History(ctx, store, *service)
			if err != nil {
				return err
			}
			for i := range revisions {
				fmt.Fprintln(r.Env.Stdout, describeRevision(&revisions[i]))
				if i+1 < len(revisions) {
					printChanges(r.Env, &revisions[i+1], &revisions[i])
				}
			}
			return nil
		})
	})
}

// printChanges prints the fields in which two revisions differ.
func printChanges(env *Environment, before, after *documents.Revision) {
	oldDocument, oldErr := before.Document()
	newDocument, newErr := after.Document()
	if err := errors.Join(oldErr, newErr); err != nil {
		fmt.Fprintf(env.Stdout, "  not comparable: %s\n", oneLine(err.Error()))
		return
	}
	differences, err := config.Differences(oldDocument, newDocument)
	if err != nil {
		fmt.Fprintf(env.Stdout, "  not comparable: %s\n", oneLine(err.Error()))
	}
	for _, difference := range differences {
		fmt.Fprintf(env.Stdout, "  %v\n", difference)
	}
}
