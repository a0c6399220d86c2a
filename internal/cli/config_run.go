package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
)

func (c *ConfigValidate) run(p printer) int {
	_, _, problems := load(c.File)
	if len(problems) > 0 {
		return p.problems(problems, c.JSON)
	}
	if c.JSON {
		p.json([]api.Problem{})
		return ExitDone
	}
	fmt.Fprintf(p.out, "%s is valid\n", c.File)
	return ExitDone
}

func (c *ConfigDiff) run(ctx context.Context, p printer) int {
	_, wanted, problems := load(c.File)
	if len(problems) > 0 {
		return p.problems(problems, c.JSON)
	}
	present, exit := c.present(ctx, p)
	if exit != ExitDone {
		return exit
	}
	changes := declaration.Diff(present, wanted)
	if c.JSON {
		p.json(append([]declaration.Change{}, changes...))
		return ExitDone
	}
	for _, change := range changes {
		fmt.Fprintln(p.out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(p.out, "no changes")
	}
	return ExitDone
}

// present returns the declaration to compare with; nil if none is in force yet.
func (c *ConfigDiff) present(ctx context.Context, p printer) (*api.Declaration, int) {
	if c.Against != "" {
		_, decl, problems := load(c.Against)
		if len(problems) > 0 {
			return nil, p.problems(problems, c.JSON)
		}
		return decl, ExitDone
	}
	doc, err := c.client().show(ctx)
	if err != nil {
		return nil, p.fail(err)
	}
	if doc.Revision == 0 {
		return nil, ExitDone
	}
	decl, problems := declaration.Parse(fmt.Sprintf("revision %d", doc.Revision), []byte(doc.Document))
	if len(problems) > 0 {
		return nil, p.problems(problems, c.JSON)
	}
	return decl, ExitDone
}

func (c *ConfigApply) run(ctx context.Context, p printer) int {
	text, _, problems := load(c.File)
	if len(problems) > 0 {
		return p.problems(problems, c.JSON)
	}
	req := api.ApplyRequest{
		ChangeID: c.ChangeID, Author: c.Author, Document: string(text), DryRun: c.DryRun, WaitMillis: int(c.Wait.Milliseconds()),
	}
	if req.ChangeID == "" {
		req.ChangeID = uuid.NewString()
	}
	if c.Base != nil {
		req.BaseRevision = *c.Base
	} else {
		doc, err := c.client().show(ctx)
		if err != nil {
			return p.fail(err)
		}
		req.BaseRevision = doc.Revision
	}
	response, err := c.client().apply(ctx, req)
	if err != nil {
		fmt.Fprintf(p.errOut, "the outcome is not known; repeat with --base %d --change-id %s\n", req.BaseRevision, req.ChangeID)
		return p.fail(err)
	}
	for i := range response.Problems {
		response.Problems[i].File = c.File
	}
	if c.JSON {
		p.json(response)
		return exitOf(response.State)
	}
	p.applied(req, response)
	return exitOf(response.State)
}

func (p printer) applied(req api.ApplyRequest, response api.ApplyResponse) {
	switch response.State {
	case api.ApplyAccepted:
		p.accepted(response)
	case api.ApplyPending:
		fmt.Fprintf(p.out, "pending: revision %d is committed, not yet in force at %s\n", response.Revision, strings.Join(response.NotInForce, ", "))
	case api.ApplyValid:
		fmt.Fprintf(p.out, "valid on base revision %d\n", response.Revision)
	case api.ApplyConflict:
		fmt.Fprintf(p.errOut, "conflict: revision %d is change %s by %s\n",
			response.ConflictRevision, response.ConflictChangeID, response.ConflictAuthor)
	case api.ApplyInvalid:
		p.problems(response.Problems, false)
	default:
		fmt.Fprintf(p.errOut, "%s: repeat with --base %d --change-id %s\n", response.State, req.BaseRevision, req.ChangeID)
	}
	if response.Detail != "" {
		fmt.Fprintln(p.errOut, response.Detail)
	}
}

// accepted names the instances that acknowledged nothing: they serve no older revision, because they take no new work.
func (p printer) accepted(response api.ApplyResponse) {
	if len(response.NotInForce) == 0 {
		fmt.Fprintf(p.out, "accepted: revision %d is in force everywhere (%d ms)\n", response.Revision, response.ElapsedMillis)
		return
	}
	fmt.Fprintf(p.out, "accepted: revision %d is in force wherever work is taken (%d ms); not acknowledged by %s, which takes no new work until it has it\n",
		response.Revision, response.ElapsedMillis, strings.Join(response.NotInForce, ", "))
}

func exitOf(state api.ApplyResponseState) int {
	switch state {
	case api.ApplyAccepted, api.ApplyValid:
		return ExitDone
	case api.ApplyInvalid:
		return ExitInvalid
	case api.ApplyConflict:
		return ExitConflict
	case api.ApplyPending:
		return ExitPending
	}
	return ExitUnknown
}

func (c *ConfigShow) run(ctx context.Context, p printer) int {
	doc, err := c.client().show(ctx)
	if err != nil {
		return p.fail(err)
	}
	if c.JSON {
		p.json(doc)
		return ExitDone
	}
	fmt.Fprintf(p.errOut, "revision %d, change %s by %s\n", doc.Revision, doc.ChangeID, doc.Author)
	fmt.Fprint(p.out, doc.Document)
	return ExitDone
}

func (c *ConfigStatus) run(ctx context.Context, p printer) int {
	status, err := c.client().status(ctx)
	if err != nil {
		return p.fail(err)
	}
	if c.JSON {
		p.json(status)
		return ExitDone
	}
	fmt.Fprintf(p.out, "revision %d\n", status.Revision)
	for _, instance := range status.Instances {
		age := fmt.Sprintf("%d ms ago", instance.AgeMillis)
		if instance.AgeMillis < 0 {
			age = "never heard"
		}
		fmt.Fprintf(p.out, "%-24s %-16s revision %-8d %s\n", instance.Name, instance.AvailabilityZone, instance.Revision, age)
	}
	return ExitDone
}
