package direct

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"shallotring.dev/coordination/quarantinerecord"
	"shallotring.dev/coordination/requestrecord"
	"shallotring.dev/platform/boot"
	"shallotring.dev/platform/store"
	"shallotring.dev/state/call"
	"shallotring.dev/state/fingerprint"
)

// WriteQuarantine writes the prompt parts and the requests in quarantine according to the store, with the evidence against each, one a line.
func WriteQuarantine(ctx context.Context, s boot.Settings, out io.Writer) (err error) {
	defer func() { err = eris.Wrap(err, "list quarantine") }()
	list, _, err := store.New(s.Store).List(ctx, quarantinerecord.Prefix)
	if err != nil {
		return err
	}
	for _, x := range list {
		if strings.HasPrefix(x.Key, requestrecord.EvidencePrefix) {
			continue
		}
		if strings.HasPrefix(x.Key, requestrecord.VerdictPrefix) {
			if err = writeRequest(out, x.Key, x.Value); err != nil {
				return err
			}
			continue
		}
		p, r, err := quarantinerecord.Decode(x.Key, x.Value)
		if err != nil {
			return err
		}
		status := "in quarantine until " + r.Until.UTC().Format(time.RFC3339)
		switch {
		case r.Lifted:
			status = "lifted"
		case time.Now().After(r.Until):
			status = "expired at " + r.Until.UTC().Format(time.RFC3339)
		}
		if _, err = fmt.Fprintf(out, "%s: %s; at %d of %d crashes, at an engine for %.3f of its time, evidence %.1f, %d probations, %d passed, found by %s\n",
			p, status, r.Incidents, r.Of, r.Share, r.Evidence, r.Probations, r.Passed, r.Host); err != nil {
			return err
		}
	}
	return nil
}

func writeRequest(out io.Writer, key string, value []byte) (err error) {
	p, r, err := requestrecord.Decode(key, value)
	if err != nil {
		return err
	}
	status := "in quarantine since " + r.Since.UTC().Format(time.RFC3339)
	if r.Lifted {
		status = "lifted"
	}
	_, err = fmt.Fprintf(out, "request %s: %s; %d endpoints ended under it in %d incidents, %d other runs were complete, %d probations, found by %s\n",
		p, status, r.Ends, r.Incidents, r.Survivals, r.Probations, r.Host)
	return err
}

// LiftQuarantine ends the quarantine of a prompt part or of a request, which is given by its id or fingerprint in hexadecimal, at all entries.
func LiftQuarantine(ctx context.Context, s boot.Settings, part string) (err error) {
	defer func() { err = eris.Wrapf(err, "lift quarantine of %q", part) }()
	if p, err := fingerprint.Parse(part); err == nil {
		value, err := json.Marshal(requestrecord.Record{Lifted: true, Since: time.Now(), Host: s.Host})
		if err != nil {
			return err
		}
		_, err = store.New(s.Store).Put(ctx, requestrecord.Key(p), value)
		return err
	}
	id, err := strconv.ParseUint(part, 16, 64)
	if err != nil {
		return err
	}
	value, err := json.Marshal(quarantinerecord.Record{Lifted: true, Since: time.Now(), Host: s.Host})
	if err != nil {
		return err
	}
	_, err = store.New(s.Store).Put(ctx, quarantinerecord.Key(call.PartID(id)), value)
	return err
}
