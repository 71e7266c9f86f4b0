// Package workload generates the requests of the users' estates from a seed.
package workload

import (
	"time"

	"sandbarrow.example/sandbarrow"
)

// ClassMix is one class of callers and its part of the traffic.
type ClassMix struct {
	Class       sandbarrow.CallerClass
	NoBatchWait bool
	Priority    int
	// Share is the class's part of all requests.
	Share float64
	// Tokens is the mean length of an answer.
	Tokens int
}

// Estate describes one user's estate at its size of today.
type Estate struct {
	Adapters    int
	BaseModels  int
	BatchWeight float64
	Classes     []ClassMix
	// Deadline is what callers wait at most.
	Deadline time.Duration
	Domains  int
	// LoadTime is the time of one adapter load at full speed.
	LoadTime           time.Duration
	LoadsPerSecond float64
	MaxRunning     int
	Name           string
	ParallelLoads  int
	// RequestsPerSecond is the traffic of an ordinary hour.
	RequestsPerSecond float64
	Runners           int
	Slots             int
	// StepTime is the time of one engine step, which gives each request a token.
	StepTime time.Duration
}

// Address is the address look-up estate.
func Address() Estate {
	return Estate{
		Adapters: 5000, BaseModels: 2, Domains: 3, Runners: 9, Name: "address",
		BatchWeight: 0.1, Deadline: 30 * time.Second,
		LoadTime: time.Second, LoadsPerSecond: 2, ParallelLoads: 2,
		MaxRunning: 16, Slots: 12, RequestsPerSecond: 4, StepTime: 25 * time.Millisecond,
		Classes: []ClassMix{
			{Class: "dispatch", NoBatchWait: true, Priority: 0, Share: 0.5, Tokens: 60},
			{Class: "bank", NoBatchWait: true, Priority: 1, Share: 0.3, Tokens: 100},
			{Class: "tax", Priority: 2, Share: 0.2, Tokens: 200},
		},
	}
}

// Registre is the company register estate.
func Registre() Estate {
	return Estate{
		Adapters: 5000, BaseModels: 2, Domains: 4, Runners: 18, Name: "registre",
		BatchWeight: 0.8, Deadline: 60 * time.Second,
		LoadTime: time.Second, LoadsPerSecond: 4, ParallelLoads: 6,
		MaxRunning: 16, Slots: 12, RequestsPerSecond: 8, StepTime: 25 * time.Millisecond,
		Classes: []ClassMix{
			{Class: "notary", NoBatchWait: true, Priority: 0, Share: 0.15, Tokens: 200},
			{Class: "portal", Priority: 1, Share: 0.45, Tokens: 60},
			{Class: "clerk", Priority: 2, Share: 0.4, Tokens: 250},
		},
	}
}
