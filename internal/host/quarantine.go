package host

import (
	"context"
	"time"

	"heatherlift.example/heatherlift/internal/quarantine"
)

// crashEvidenceTimeout bounds an exchange of evidence of crashes with another proxy.
// After it another proxy is told.
const crashEvidenceTimeout = 500 * time.Millisecond

func (h *Host) executeQuarantine(e quarantine.Effect) {
	switch e := e.(type) {
	case quarantine.Send:
		h.spawn(func() { h.exchangeCrashEvidence(e) })
	case quarantine.Reply:
		h.replies.deliver(e.Call, e.Message)
	}
}

func (h *Host) exchangeCrashEvidence(s quarantine.Send) {
	ctx, cancel := context.WithTimeout(h.ctx, crashEvidenceTimeout)
	defer cancel()
	reply, err := h.transport.ExchangeCrashEvidence(ctx, s.Address, s.Message)
	if err != nil {
		h.log.Debug("no reply to evidence of crashes", "peer", s.Address, "cause", err)
		h.step(quarantine.Failed{Send: s})
		return
	}
	h.step(quarantine.Replied{Send: s, Reply: reply})
}

// ExchangeCrashEvidence implements peer.Handler.
func (h *Host) ExchangeCrashEvidence(ctx context.Context, m quarantine.Message) (quarantine.Message, error) {
	return awaitReply[quarantine.Message](ctx, h, func(call uint64) any { return quarantine.Received{Call: call, Message: m} })
}
