package status

import (
	"time"

	"github.com/cicadawall/cicadawall/internal/api"
	"github.com/cicadawall/cicadawall/internal/declaration"
	"github.com/cicadawall/cicadawall/internal/quality"
	"github.com/cicadawall/cicadawall/internal/table"
)

// Sources contains the tables and functions from which Collect reads.
type Sources struct {
	Instance         string
	AvailabilityZone string
	Config           *table.Config
	Servers          *table.Servers
	Versions         *quality.Table
	Classes          *ClassTable
	Draining         func() bool
	// Chain returns the versions that the cascade would currently try for the class, in order, if the organisation may use all
	// versions.
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
		BackendServers:   backendServers(s.Servers, s.Config.Snapshot(), now),
	}
	_, problem := s.Config.SnapshotIfEligible(now)
	response.ConfigurationFresh = problem == nil
	snapshot := s.Config.Snapshot()
	if snapshot == nil {
		return response
	}
	for i := range snapshot.Document.Classes {
		response.Classes = append(response.Classes, s.classStatus(snapshot, &snapshot.Document.Classes[i]))
	}
	return response
}

func (s Sources) classStatus(snapshot *declaration.Snapshot, class *api.Class) api.ClassStatus {
	stats := s.Classes.Stats(class.Name)
	status := api.ClassStatus{
		Name:                class.Name,
		Target:              class.Target,
		TargetMet:           targetMet(class.Target, stats),
		ReachedQuality:      stats.MeanRating,
		FirstTokenP95Millis: milliseconds(stats.FirstTokenP95),
		InterTokenP95Millis: milliseconds(stats.InterTokenP95),
		CostPer1000:         stats.CostPer1000,
		Answered:            stats.Answered,
		NotRun:              stats.NotRun,
		Unknown:             stats.Unknown,
	}
	for _, id := range s.Chain(snapshot, class) {
		status.Chain = append(status.Chain, id.String())
	}
	for _, id := range snapshot.Versions() {
		status.Versions = append(status.Versions, s.versionStatus(snapshot, class.Name, id))
	}
	return status
}

func (s Sources) versionStatus(snapshot *declaration.Snapshot, class string, id declaration.VersionID) api.VersionStatus {
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

// targetMet reports whether the results of a class meet its target. Without answers every target counts as met, without
// ratings the quality target does.
func targetMet(target api.Target, stats ClassStats) bool {
	if stats.Answered == 0 {
		return true
	}
	switch {
	case target.Quality > 0 && stats.Ratings > 0 && stats.MeanRating < target.Quality:
		return false
	case target.FirstTokenMillis > 0 && milliseconds(stats.FirstTokenP95) > float64(target.FirstTokenMillis):
		return false
	case target.InterTokenMillis > 0 && milliseconds(stats.InterTokenP95) > float64(target.InterTokenMillis):
		return false
	case target.CostPer1000 > 0 && stats.CostPer1000 > target.CostPer1000:
		return false
	}
	return true
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func backendServers(servers *table.Servers, snapshot *declaration.Snapshot, now time.Time) []api.BackendServerStatus {
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
		case snapshot.Evacuated(row.Entry.AvailabilityZone):
			status.State = "evacuated"
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
