package frontend

import (
	"shallotring.dev/protocol/control"
	"shallotring.dev/state/ident"
)

// unreadPrompts has the prompt tokens that an engine has not read yet, as the entries and the agent report them to each other.
type unreadPrompts struct {
	// reported is what this entry has reported last. The agent's sum has it, since the agent publishes its state less often than reports reach it.
	reported ident.Tokens
	// othersUnread is the part of the agent's last sum that other entries have reported.
	othersUnread ident.Tokens
}

// adopt takes over the sum in a state of the agent.
func (u *unreadPrompts) adopt(s control.State) { u.othersUnread = s.Unread - min(u.reported, s.Unread) }
