package sandbarrow

// WeightsVersion holds the versions of the weights with which an engine runs a request. The cache
// that an engine fills from a prompt can be reused only for the same AdapterKey and the same
// versions. Engines that have loaded the same adapter may have different base model weights.
type WeightsVersion struct {
	// Adapter is the adapter's version. It is 0 for a base model without an adapter.
	Adapter AdapterVersion
	// Model is the version of the base model's weights.
	Model ModelVersion
}

// Known reports whether the versions determine the weights of an adapter. Unknown versions never
// match other versions, not even other unknown ones.
func (v WeightsVersion) Known(k AdapterKey) bool {
	return v.Model > 0 && (k.Adapter == "" || v.Adapter > 0)
}
