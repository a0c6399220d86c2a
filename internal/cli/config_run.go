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
	_, _, problems := loadDeclaration(c.File)
	if len(problems) > 0 {
		return p.printProblems(problems, c.JSON)
	}
	if c.JSON {
		p.printJSON([]api.Problem{})
		return ExitOK
	}
	fmt.Fprintf(p.out, "%s is valid\n", c.File)
	return ExitOK
}

func (c *ConfigDiff) run(ctx context.Context, p printer) int {
	_, proposed, problems := loadDeclaration(c.File)
	if len(problems) > 0 {
		return p.printProblems(problems, c.JSON)
	}
	current, exit := c.currentDeclaration(ctx, p)
	if exit != ExitOK {
		return exit
	}
	changes := declaration.Diff(current, proposed)
	if c.JSON {
		p.printJSON(append([]declaration.Change{}, changes...))
		return ExitOK
	}
	for _, change := range changes {
		fmt.Fprintln(p.out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(p.out, "no changes")
	}
	return ExitOK
}

// currentDeclaration returns the declaration to compare with: the one in the file given with --against, otherwise the one in
// force, or nil if none is in force yet.
func (c *ConfigDiff) currentDeclaration(ctx context.Context, p printer) (*api.Declaration, int) {
	if c.Against != "" {
		_, decl, problems := loadDeclaration(c.Against)
		if len(problems) > 0 {
			return nil, p.printProblems(problems, c.JSON)
		}
		return decl, ExitOK
	}
	doc, err := c.client().show(ctx)
	if err != nil {
		return nil, p.printError(err)
	}
	if doc.Revision == 0 {
		return nil, ExitOK
	}
	decl, problems := declaration.Parse(fmt.Sprintf("revision %d", doc.Revision), []byte(doc.Document))
	if len(problems) > 0 {
		return nil, p.printProblems(problems, c.JSON)
	}
	return decl, ExitOK
}

func (c *ConfigApply) run(ctx context.Context, p printer) int {
	text, _, problems := loadDeclaration(c.File)
	if len(problems) > 0 {
		return p.printProblems(problems, c.JSON)
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
			return p.printError(err)
		}
		req.BaseRevision = doc.Revision
	}
	response, err := c.client().apply(ctx, req)
	if err != nil {
		fmt.Fprintf(p.errOut, "the outcome is not known; repeat with --base %d --change-id %s\n", req.BaseRevision, req.ChangeID)
		return p.printError(err)
	}
	for i := range response.Problems {
		response.Problems[i].File = c.File
	}
	if c.JSON {
		p.printJSON(response)
		return exitCodeOf(response.State)
	}
	p.printApplyResponse(req, response)
	return exitCodeOf(response.State)
}

// printApplyResponse prints the outcome of a change and, if the change may be repeated, the flags to repeat it with.
func (p printer) printApplyResponse(req api.ApplyRequest, response api.ApplyResponse) {
	switch response.State {
	case api.ApplyAccepted:
		p.printAccepted(response)
	case api.ApplyPending:
		fmt.Fprintf(p.out, "pending: revision %d is committed, not yet in force at %s\n", response.Revision, strings.Join(response.NotInForce, ", "))
	case api.ApplyValid:
		fmt.Fprintf(p.out, "valid on base revision %d\n", response.Revision)
	case api.ApplyConflict:
		fmt.Fprintf(p.errOut, "conflict: revision %d is change %s by %s\n",
			response.ConflictRevision, response.ConflictChangeID, response.ConflictAuthor)
	case api.ApplyInvalid:
		p.printProblems(response.Problems, false)
	default:
		fmt.Fprintf(p.errOut, "%s: repeat with --base %d --change-id %s\n", response.State, req.BaseRevision, req.ChangeID)
	}
	if response.Detail != "" {
		fmt.Fprintln(p.errOut, response.Detail)
	}
}

// printAccepted prints the result of an accepted change. It names the instances that have not acknowledged the revision: they
// take no new work until they have it, so no instance serves new requests under an older revision.
func (p printer) printAccepted(response api.ApplyResponse) {
	if len(response.NotInForce) == 0 {
		fmt.Fprintf(p.out, "accepted: revision %d is in force everywhere (%d ms)\n", response.Revision, response.ElapsedMillis)
		return
	}
	fmt.Fprintf(p.out, "accepted: revision %d is in force wherever work is taken (%d ms); not acknowledged by %s, which takes no new work until it has it\n",
		response.Revision, response.ElapsedMillis, strings.Join(response.NotInForce, ", "))
}

// exitCodeOf returns the exit code for the outcome of a change.
func exitCodeOf(state api.ApplyResponseState) int {
	switch state {
	case api.ApplyAccepted, api.ApplyValid:
		return ExitOK
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
		return p.printError(err)
	}
	if c.JSON {
		p.printJSON(doc)
		return ExitOK
	}
	fmt.Fprintf(p.errOut, "revision %d, change %s by %s\n", doc.Revision, doc.ChangeID, doc.Author)
	fmt.Fprint(p.out, doc.Document)
	return ExitOK
}

func (c *ConfigStatus) run(ctx context.Context, p printer) int {
	status, err := c.client().status(ctx)
	if err != nil {
		return p.printError(err)
	}
	if c.JSON {
		p.printJSON(status)
		return ExitOK
	}
	fmt.Fprintf(p.out, "revision %d\n", status.Revision)
	for _, instance := range status.Instances {
		age := fmt.Sprintf("%d ms ago", instance.AgeMillis)
		if instance.AgeMillis < 0 {
			age = "never heard"
		}
		fmt.Fprintf(p.out, "%-24s %-16s revision %-8d %s\n", instance.Name, instance.AvailabilityZone, instance.Revision, age)
	}
	return ExitOK
}
