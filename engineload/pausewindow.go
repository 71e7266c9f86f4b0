package engineload

import "time"

const (
	// maxPrefillWindow is the window of an engine whose streams have not paused. It is more
	// than any engine has prefilled at once on the deployments seen.
	maxPrefillWindow = 64_000
	// minPrefillWindow is the smallest window: one prompt of medium length.
	minPrefillWindow = 2_500
	// fullWindowCut is the factor applied to the window after a stream pause that was too
	// long, if the window was nearly full at the time.
	fullWindowCut = 0.8
	// partialWindowCut is the factor applied if the engine had far less to prefill at the
	// time, as with a single long prompt. A smaller window would not have prevented that
	// pause. With fullWindowCut here too, the windows of engines that can take 8,000 tokens
	// fell to 3,000.
	partialWindowCut = 0.9
	// windowGrowth is the relative growth of the window for each finished request while it
	// delays prompts. With fullWindowCut, one pause in forty requests keeps the window
	// stable.
	windowGrowth = 0.006
	// samePauseInterval is the time within which further pauses count as the same one, and
	// within which tokens to prefill count as its cause. The streams of an engine pause
	// together, for about 0.5 s.
	samePauseInterval = 500 * time.Millisecond
)

// PauseWindow decides how many prompt tokens an engine may have to prefill at once, based
// on pauses in its running streams. An engine prefills prompts in chunks between the tokens
// of its streams. Several chunks in a row can make the gap between two events of a stream
// longer than its route allows. The number of chunks that cause this differs between
// engines and is not in any report. The window shrinks by a factor with each pause that was
// too long. It grows slowly while it delays prompts and no stream pauses. It is not safe
// for concurrent use. Its zero value is fully open.
type PauseWindow struct {
	// reduction is the difference between maxPrefillWindow and the window's size.
	reduction float64
	// blocked reports that the window has delayed a prompt since the last request finished.
	blocked bool
	// pausedAt is when a stream last paused for too long.
	pausedAt time.Time
	// peak is the recent maximum of tokens to prefill at once, and peakAt its time.
	peak   int
	peakAt time.Time
}

// Size returns the number of prompt tokens that the engine may have to prefill at once.
func (w *PauseWindow) Size() int {
	return maxPrefillWindow - int(w.reduction)
}

// Admits reports whether the engine may have this many tokens to prefill at once.
func (w *PauseWindow) Admits(tokens int) bool {
	if tokens <= w.Size() {
		return true
	}
	w.blocked = true
	return false
}

// PrefillStarted records the number of tokens that the engine has to prefill from now on.
func (w *PauseWindow) PrefillStarted(now time.Time, toPrefill int) {
	if toPrefill >= w.peak || now.Sub(w.peakAt) > samePauseInterval {
		w.peak, w.peakAt = toPrefill, now
	}
}

// StreamPaused shrinks the window after a stream has paused for too long. It returns false
// for a pause that counts as the same as the last one.
func (w *PauseWindow) StreamPaused(now time.Time) bool {
	if now.Sub(w.pausedAt) < samePauseInterval {
		return false
	}
	w.pausedAt = now
	size := float64(w.Size())
	switch {
	case w.reduction == 0:
		size = min(size, float64(w.peak)) // the first pause sets the initial size
	case float64(w.peak) >= fullWindowCut*size:
		size *= fullWindowCut
	default:
		size *= partialWindowCut
	}
	w.reduction = maxPrefillWindow - max(minPrefillWindow, size)
	return true
}

// RequestEnded grows the window slightly after a request has finished, if the window has
// delayed a prompt since the last one.
func (w *PauseWindow) RequestEnded() {
	if !w.blocked {
		return
	}
	w.blocked = false
	w.reduction = max(0, w.reduction-windowGrowth*float64(w.Size()))
}
