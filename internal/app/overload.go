package app

import (
	"github.com/cicadawall/cicadawall/internal/buffer"
	"github.com/cicadawall/cicadawall/internal/callerconn"
	"github.com/cicadawall/cicadawall/internal/settings"
)

const (
	// maxOperatorConnections and maxPeerConnections bound the connections of the operator and the peer port; an instance keeps a few
	// connections to each peer.
	maxOperatorConnections = 256
	maxPeerConnections     = 1024
	// callerDescriptors and internalDescriptors are the parts (1/n) of the process's descriptors that the connections of callers, and of each
	// other port, may take. The rest is for backend servers and the platform.
	callerDescriptors   = 2
	internalDescriptors = 8
)

// newCallerConnections returns the table of the callers' connections.
func (i *Instance) newCallerConnections(evictions *callerconn.Evictions) *callerconn.Table {
	limit := min(i.settings.Limits.CallerConnections, callerconn.DescriptorLimit()/callerDescriptors)
	table := i.newConnections("", limit, evictions)
	i.metrics.RegisterGauge("cicadawall_caller_connections", func() float64 { return float64(table.Open()) })
	i.metrics.RegisterGauge("cicadawall_caller_connections_limit", func() float64 { return float64(limit) })
	return table
}

// newInternalConnections returns the table of the connections of the operator or the peer port.
func (i *Instance) newInternalConnections(name string, limit int, evictions *callerconn.Evictions) *callerconn.Table {
	return i.newConnections(name, min(limit, callerconn.DescriptorLimit()/internalDescriptors), evictions)
}

func (i *Instance) newConnections(name string, limit int, evictions *callerconn.Evictions) *callerconn.Table {
	grace := settings.Millis(i.settings.Limits.EvictionGraceMillis)
	return callerconn.NewTable(callerconn.Options{Name: name, Limit: limit, Grace: grace, OnEvict: evictions.Add})
}

// newBodies returns the memory for the bodies of callers' requests.
func (i *Instance) newBodies(evictions *callerconn.Evictions) *buffer.Bodies {
	limits := i.settings.Limits
	bodies := buffer.NewBodies(int64(limits.BodyMemoryMB)<<20, settings.Millis(limits.EvictionGraceMillis), evictions.Add)
	i.metrics.RegisterGauge("cicadawall_request_buffer_bytes", func() float64 { return float64(bodies.Used()) })
	return bodies
}
