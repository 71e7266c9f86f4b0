// Package standin holds small stand-ins for the systems that sandbarrow calls: the platform's
// key-value service and box list, the weight store, model engines and plain services. Tests,
// benchmarks and the demo use them. Faults are injected over HTTP or with Set.
package standin
