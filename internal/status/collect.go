package status

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/table"
)

// Sources are the tables that a status is collected from.
type Sources struct {
	Instance         string
	AvailabilityZone string
	Config           *table.Config
	Servers          *table.Servers
	Versions         *quality.Table
	Classes          *Classes
	Draining         func() bool
	// Chain returns the chain that a class would use now for an organisation that may use all versions.
	Chain func(snapshot *declaration.Snapshot, class *api.Class) []declaration.VersionID
}

// Collect returns the status of the instance.
func Collect(s Sources, now time.Time) api.StatusResponse {
	response := api.StatusResponse{
		Instance:         s.Instance,
		AvailabilityZone: s.AvailabilityZone,
		Revision:         s.Config.Revision(),
		Draining:         s.Draining(),
		Classes:          []api.ClassStatus{},
		BackendServers:   backendServers(s.Servers, now),
	}
	_, problem := s.Config.SnapshotIfEligible(now)
	response.ConfigurationFresh = problem == nil
	snapshot := s.Config.Snapshot()
	if snapshot == nil {
		return response
	}
	for i := range snapshot.Document.Classes {
		response.Classes = append(response.Classes, s.class(snapshot, &snapshot.Document.Classes[i]))
	}
	return response
}

func (s Sources) class(snapshot *declaration.Snapshot, class *api.Class) api.ClassStatus {
	reached := s.Classes.Reached(class.Name)
	status := api.ClassStatus{
		Name:                class.Name,
		Target:              class.Target,
		TargetMet:           met(class.Target, reached),
		ReachedQuality:      reached.Quality,
		FirstTokenP95Millis: milliseconds(reached.FirstToken),
		InterTokenP95Millis: milliseconds(reached.BetweenTokens),
		CostPer1000:         reached.CostPer1000,
		Answered:            reached.Answered,
		NotRun:              reached.NotRun,
		Unknown:             reached.Unknown,
	}
	for _, id := range s.Chain(snapshot, class) {
		status.Chain = append(status.Chain, id.String())
	}
	for _, id := range snapshot.Versions() {
		status.Versions = append(status.Versions, s.version(snapshot, class.Name, id))
	}
	return status
}

func (s Sources) version(snapshot *declaration.Snapshot, class string, id declaration.VersionID) api.VersionStatus {
	declared, _ := snapshot.Version(id)
	state := declared.State
	if state == "" {
		state = api.VersionServing
	}
	status := api.VersionStatus{Model: id.Model, Version: id.Version, State: string(state)}
	switch state {
	case api.VersionServing:
		status.RequestFraction = 1
	case api.VersionRollout:
		status.RequestFraction = s.Versions.RequestFraction(class, id)
	}
	if reason, held := s.Config.HoldReason(id); held {
		status.RequestFraction = 0
		status.Reason = reason
		if state != api.VersionQuarantined {
			status.State = "held"
		}
	}
	if declared.QuarantineReason != "" {
		status.Reason = declared.QuarantineReason
	}
	status.Ratings, status.MeanRating = s.Versions.RatingStats(class, id)
	return status
}

// met reports whether what was reached satisfies the target; a class without answers or ratings counts as met.
func met(target api.Target, reached Reached) bool {
	if reached.Answered == 0 {
		return true
	}
	switch {
	case target.Quality > 0 && reached.Ratings > 0 && reached.Quality < target.Quality:
		return false
	case target.FirstTokenMillis > 0 && milliseconds(reached.FirstToken) > float64(target.FirstTokenMillis):
		return false
	case target.InterTokenMillis > 0 && milliseconds(reached.BetweenTokens) > float64(target.InterTokenMillis):
		return false
	case target.CostPer1000 > 0 && reached.CostPer1000 > target.CostPer1000:
		return false
	}
	return true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func backendServers(servers *table.Servers, now time.Time) []api.BackendServerStatus {
	out := []api.BackendServerStatus{}
	for _, row := range servers.Select(func(*table.Server) bool { return true }) {
		status := api.BackendServerStatus{
			Id:               row.Entry.Id,
			AvailabilityZone: row.Entry.AvailabilityZone,
			State:            "live",
			InFlight:         row.InFlight,
		}
		switch {
		case row.Leaving:
			status.State = "leaving"
		case now.Before(row.EjectedUntil):
			status.State = "ejected"
		}
		if !row.ReportedAt.IsZero() {
			status.ReportAgeMillis = now.Sub(row.ReportedAt).Milliseconds()
		}
		out = append(out, status)
	}
	return out
}
