package controller

import "time"

const (
	// mostReadTokens is the window of an engine whose streams have not paused: more than
	// any engine has read at once on the deployments seen.
	mostReadTokens = 64_000
	// leastReadTokens is the least window: one prompt of middling length.
	leastReadTokens = 2_500
	// readCut is what is left of the window after a pause that was too long and came while the
	// window was nearly full.
	readCut = 0.8
	// weakCut is what is left of it after one that came while the engine had far less to
	// read, as beside a single long prompt: another bound would not have helped. With
	// readCut there too the windows of engines that bear 8,000 tokens fell to 3,000.
	weakCut = 0.9
	// readGrowth is by how much each ended request lets the window grow while it holds prompts up:
	// with readCut one pause in forty requests holds the balance.
	readGrowth = 0.006
	// readPause is the time within which further pauses are taken for the same one, and prompts to
	// read for its cause: the streams of an engine pause together, for some 0.5 s.
	readPause = 500 * time.Millisecond
)

// readWindow decides how many prompt tokens an engine may have to read at once, by what
// the streams that run there show. An engine reads prompts in pieces between the tokens
// of its streams; several pieces in a row make the pause between two events of a stream
// longer than its route allows. How many that are differs between engines, and no report
// tells it: the window closes by a part with each pause that was too long, and opens
// slowly while it holds prompts up and no stream pauses. It is not safe for concurrent
// use. Its zero value is open.
type readWindow struct {
	// closed is what the window lacks of mostReadTokens.
	closed float64
	// held says that the window has held up a prompt since a request has ended.
	held bool
	// pausedAt is when a stream paused for too long last.
	pausedAt time.Time
	// peak is the most that the engine had to read at once lately, at peakAt.
	peak   int
	peakAt time.Time
}

// size is how many prompt tokens the engine may have to read at once.
func (w *readWindow) size() int {
	return mostReadTokens - int(w.closed)
}

// admits reports whether the engine may have so many tokens to read at once.
func (w *readWindow) admits(tokens int) bool {
	if tokens <= w.size() {
		return true
	}
	w.held = true
	return false
}

// began notes that the engine has so many tokens to read from now on.
func (w *readWindow) began(now time.Time, unread int) {
	if unread >= w.peak || now.Sub(w.peakAt) > readPause {
		w.peak, w.peakAt = unread, now
	}
}

// paused closes the window after a stream has paused for too long. It returns false for a
// pause that is taken for the same as the last one.
func (w *readWindow) paused(now time.Time) bool {
	if now.Sub(w.pausedAt) < readPause {
		return false
	}
	w.pausedAt = now
	size := float64(w.size())
	switch {
	case w.closed == 0:
		size = min(size, float64(w.peak)) // the first pause shows where to begin
	case float64(w.peak) >= readCut*size:
		size *= readCut
	default:
		size *= weakCut
	}
	w.closed = mostReadTokens - max(leastReadTokens, size)
	return true
}

// ended opens the window a little after a request has ended, where it has held one up
// since the last one.
func (w *readWindow) ended() {
	if !w.held {
		return
	}
	w.held = false
	w.closed = max(0, w.closed-readGrowth*float64(w.size()))
}
