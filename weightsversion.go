package sandbarrow

// WeightsVersion names the versions of the weights with which an engine runs a request.
// What the engine makes of a prompt can be used again under the same key and the same
// versions alone: a base model's weights differ between engines that hold the same
// adapter.
type WeightsVersion struct {
	// Adapter is the adapter's version; 0 for a base model alone.
	Adapter AdapterVersion
	// Model is the version of the base model's weights.
	Model ModelVersion
}

// Known reports whether the versions say which weights of an adapter run. Versions that
// are not known equal no other ones, not even others that are not known.
func (v WeightsVersion) Known(k AdapterKey) bool {
	return v.Model > 0 && (k.Adapter == "" || v.Adapter > 0)
}
