package migration

import (
	"slices"

	"github.com/cicadawall/cicadawall/internal/storepos"
)

// ConfirmOrder records that a peer has told what it knows of the service, after its order was added.
func (t *Table) ConfirmOrder(service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.migrations[service]; ok {
		r.unconfirmedOrder = false
	}
}

// reportedVersions returns the records of versions for peers. That of an unconfirmed order is left out: if the operator wrote the order again after the store had
// lost it, peers would take it for a new order of a version that may be withdrawn.
func (t *Table) reportedVersions(r *serviceMigration) []VersionRecord {
	records := r.versions.all()
	if !r.unconfirmedOrder || r.order.Revision.Era() == 0 {
		return records
	}
	return slices.DeleteFunc(records, func(record VersionRecord) bool {
		return record.Version == r.order.Target && !record.Withdrawn && t.history.Same(record.Revision, r.order.Revision)
	})
}

// orderKind says what an order means for one that is in force.
type orderKind int

const (
	// orderNew replaces the order in force.
	orderNew orderKind = iota
	// orderKnown is the order in force.
	orderKnown
	// orderRepeated is the order in force, which the operator has written again after the store lost its row.
	orderRepeated
	// orderAdopted is the order in force under the revision by which other instances know it since an earlier era.
	orderAdopted
	// orderEarlier was replaced by the order in force.
	orderEarlier
)

// classify compares an order with the one in force. The caller holds the lock.
func (t *Table) classify(r *serviceMigration, order Order) orderKind {
	sameRequest := r.order.sameRequest(order)
	era, rowEra := order.Revision.Era(), r.row.Era()
	later := t.history.Later(order.Revision, r.order.Revision)
	switch {
	case r.order.Target == "":
		return orderNew
	case sameRequest && t.history.Same(order.Revision, r.order.Revision):
		return orderKnown
	case era != 0 && rowEra != 0 && era > rowEra:
		if sameRequest {
			return orderRepeated
		}
		if t.orderedEarlier(r, order.Target, order.Revision) {
			return orderEarlier
		}
		if !later {
			t.markWritten(order.Revision)
		}
		return orderNew
	case era != 0 && era < rowEra:
		if sameRequest && r.unconfirmedOrder {
			return orderAdopted
		}
		if !later || sameRequest {
			return orderEarlier
		}
		if !t.orderedEarlier(r, r.order.Target, r.row) {
			t.markWritten(r.row)
			return orderEarlier
		}
		return orderNew
	case later && t.history.Later(order.Revision, r.row):
		return orderNew
	default:
		return orderEarlier
	}
}

// orderedEarlier reports whether the target was ordered in an earlier era than that of the row. The store then shows the row again because it lost those
// written since. The caller holds the lock.
func (t *Table) orderedEarlier(r *serviceMigration, target string, row storepos.Position) bool {
	known, ok := r.versions[target]
	return ok && known.Revision.Era() < row.Era() && !t.history.Later(row, known.Revision)
}

// markWritten records that the row was written in the era in which it was read. It counted as one of the copy because it was written before any instance had
// heard of the store's return.
func (t *Table) markWritten(row storepos.Position) {
	t.history.Limit(storepos.At(row.Era(), row.Version()-1))
}
