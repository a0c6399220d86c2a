// Package evacuation keeps which availability zones the operator has evacuated. Requests must not reach the servers of such a zone.
package evacuation

import (
	"slices"
	"time"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

const (
	// MaxRecords bounds the records that are exchanged between instances.
	MaxRecords = 64
	// maxZoneBytes bounds the name of an availability zone.
	maxZoneBytes = 256
)

// Record is the last known change of the evacuation of one availability zone.
type Record struct {
	Zone string
	// Revision is the position of the store as of the change.
	Revision storepos.Position
	// Active is set while the zone is evacuated.
	Active bool
	// EndedAt is when the end of the evacuation was learnt; zero while the zone is evacuated.
	EndedAt time.Time
}

// valid reports whether a record from a peer can be used.
func (r Record) valid() bool {
	return r.Zone != "" && len(r.Zone) <= maxZoneBytes && r.Revision.Version() > 0
}

// ended reports whether the record says that an evacuation has ended.
func (r Record) ended() bool { return r.Zone != "" && !r.Active }

// supersedes reports whether a record replaces another one of the same zone. Of two records of one revision, an active one is the safer
// one, and of two ends the earlier one was learnt first.
func (r Record) supersedes(other Record) bool {
	switch {
	case r.Revision != other.Revision:
		return r.Revision.After(other.Revision)
	case r.Active != other.Active:
		return r.Active
	default:
		return r.EndedAt.Before(other.EndedAt)
	}
}

// View is an immutable copy of the records for decisions on requests. The nil View has no records.
type View struct {
	evacuated []string
	ends      []Record
}

func newView(records map[string]Record) *View {
	v := &View{}
	for zone, record := range records {
		if record.Active {
			v.evacuated = append(v.evacuated, zone)
		} else {
			v.ends = append(v.ends, record)
		}
	}
	return v
}

// Evacuated reports whether the zone is evacuated.
func (v *View) Evacuated(zone string) bool {
	return v != nil && slices.Contains(v.evacuated, zone)
}

// EndsAfter returns the records of the evacuations whose end was learnt after the time.
func (v *View) EndsAfter(after time.Time) []Record {
	var recent []Record
	if v == nil {
		return nil
	}
	for _, record := range v.ends {
		if record.EndedAt.After(after) {
			recent = append(recent, record)
		}
	}
	return recent
}
