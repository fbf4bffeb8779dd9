package state

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/cobalttide/cobalttide/port"
)

// The record kinds of a snapshot stream.
const (
	KindChunk    = "snapshot-chunk"
	KindManifest = "snapshot-manifest"
)

// SnapshotStream returns the stream in which another one's snapshots stand.
func SnapshotStream(of port.Stream) port.Stream { return "snapshots/" + of }

// snapshotFormat is the format of the content; another one is passed over.
const snapshotFormat = 1

// chunkBytes bounds one record of a snapshot.
const chunkBytes = 64 << 10

// chunk is a part of a snapshot.
type chunk struct {
	Snapshot string `json:"snapshot"`
	Index    int    `json:"index"`
	Data     []byte `json:"data"`
}

// manifest ends a snapshot and makes it count.
type manifest struct {
	Snapshot string `json:"snapshot"`
	Format   int    `json:"format"`
	Chunks   int    `json:"chunks"`
	SHA256   string `json:"sha256"`
	// Offset is that of the stream which the snapshot stands for: reading goes
	// on there.
	Offset int64 `json:"offset"`
}

// WriteSnapshot puts a snapshot of a stream's fold into the log. It counts only
// once its manifest is there, so it can be read while it is being written, and
// one that was cut off is passed over.
func WriteSnapshot(ctx context.Context, log port.Log, of port.Stream, id string, offset int64, content any) error {
	raw, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	m := manifest{Snapshot: id, Format: snapshotFormat, SHA256: checksum(raw), Offset: offset}
	for from := 0; from < len(raw); from += chunkBytes {
		part := chunk{Snapshot: id, Index: m.Chunks, Data: raw[from:min(len(raw), from+chunkBytes)]}
		if err := appendOne(ctx, log, of, fmt.Sprintf("%s/%d", id, m.Chunks), KindChunk, part); err != nil {
			return err
		}
		m.Chunks++
	}
	return appendOne(ctx, log, of, id+"/manifest", KindManifest, m)
}

func checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func appendOne(ctx context.Context, log port.Log, of port.Stream, id, kind string, payload any) error {
	record, err := NewRecord(id, kind, payload)
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, SnapshotStream(of), []port.Record{record})
	return errors.Wrapf(err, "append %s", kind)
}

// ErrNoSnapshot says that the log holds no whole and readable snapshot of a stream.
var ErrNoSnapshot = errors.New("the log holds no whole snapshot")

// ReadSnapshot decodes the newest whole snapshot of a stream and returns the
// offset at which reading goes on. A torn or corrupt one is passed over, and
// the one before it is used.
func ReadSnapshot(ctx context.Context, log port.Log, of port.Stream, into any) (int64, error) {
	r := snapshotReader{parts: map[string]map[int][]byte{}}
	for from := int64(0); ; {
		page, err := log.Read(ctx, SnapshotStream(of), from)
		if err != nil {
			return 0, errors.Wrap(err, "read snapshots")
		}
		for _, e := range page.Entries {
			r.take(e.Record)
		}
		if page.Next >= page.End {
			break
		}
		from = page.Next
	}
	if r.best == nil {
		return 0, ErrNoSnapshot
	}
	if err := json.Unmarshal(r.best, into); err != nil {
		return 0, errors.Wrapf(ErrNoSnapshot, "decode snapshot: %v", err)
	}
	return r.offset, nil
}

// snapshotReader puts snapshots together and keeps the newest whole one.
type snapshotReader struct {
	parts  map[string]map[int][]byte
	best   []byte
	offset int64
}

func (r *snapshotReader) take(record port.Record) {
	switch record.Kind {
	case KindChunk:
		var c chunk
		if json.Unmarshal(record.Data, &c) != nil {
			return // its snapshot's checksum will not hold
		}
		if r.parts[c.Snapshot] == nil {
			r.parts[c.Snapshot] = map[int][]byte{}
		}
		r.parts[c.Snapshot][c.Index] = c.Data
	case KindManifest:
		var m manifest
		if json.Unmarshal(record.Data, &m) == nil && m.Format == snapshotFormat {
			r.finish(m)
		}
	}
}

func (r *snapshotReader) finish(m manifest) {
	var raw []byte
	for i := range m.Chunks {
		raw = append(raw, r.parts[m.Snapshot][i]...)
	}
	delete(r.parts, m.Snapshot)
	if checksum(raw) == m.SHA256 && (r.best == nil || m.Offset >= r.offset) {
		r.best, r.offset = raw, m.Offset
	}
}
