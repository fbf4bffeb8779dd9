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

// SnapshotStream returns the stream that holds the snapshots of another stream.
func SnapshotStream(stream port.Stream) port.Stream { return "snapshots/" + stream }

// snapshotFormat is the format of the content; snapshots of other formats are
// skipped.
const snapshotFormat = 1

// maxChunkBytes bounds the data in one record of a snapshot.
const maxChunkBytes = 64 << 10

// chunk is one piece of a snapshot's content.
type chunk struct {
	Snapshot string `json:"snapshot"`
	Index    int    `json:"index"`
	Data     []byte `json:"data"`
}

// manifest is the last record of a snapshot. A snapshot without one is not
// complete.
type manifest struct {
	Snapshot string `json:"snapshot"`
	Format   int    `json:"format"`
	Chunks   int    `json:"chunks"`
	SHA256   string `json:"sha256"`
	// Offset is where reading of the snapshotted stream continues.
	Offset int64 `json:"offset"`
}

// WriteSnapshot appends a snapshot of a stream's folded state to the log. It is
// valid only once its manifest is there, so readers skip a snapshot that is
// still being written or was interrupted.
func WriteSnapshot(ctx context.Context, log port.Log, stream port.Stream, id string, offset int64, content any) error {
	raw, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	m := manifest{Snapshot: id, Format: snapshotFormat, SHA256: checksum(raw), Offset: offset}
	for from := 0; from < len(raw); from += maxChunkBytes {
		part := chunk{Snapshot: id, Index: m.Chunks, Data: raw[from:min(len(raw), from+maxChunkBytes)]}
		if err := appendRecord(ctx, log, stream, fmt.Sprintf("%s/%d", id, m.Chunks), KindChunk, part); err != nil {
			return err
		}
		m.Chunks++
	}
	return appendRecord(ctx, log, stream, id+"/manifest", KindManifest, m)
}

func checksum(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func appendRecord(ctx context.Context, log port.Log, stream port.Stream, id, kind string, payload any) error {
	record, err := NewRecord(id, kind, payload)
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, SnapshotStream(stream), []port.Record{record})
	return errors.Wrapf(err, "append %s", kind)
}

// ErrNoSnapshot means that the log holds no complete and readable snapshot of a
// stream.
var ErrNoSnapshot = errors.New("the log holds no complete snapshot")

// ReadSnapshot decodes the newest complete snapshot of a stream and returns the
// offset at which reading continues. Incomplete and corrupt snapshots are
// skipped in favour of an older one.
func ReadSnapshot(ctx context.Context, log port.Log, stream port.Stream, into any) (int64, error) {
	r := snapshotReader{chunks: map[string]map[int][]byte{}}
	for from := int64(0); ; {
		page, err := log.Read(ctx, SnapshotStream(stream), from)
		if err != nil {
			return 0, errors.Wrap(err, "read snapshots")
		}
		for _, e := range page.Entries {
			r.add(e.Record)
		}
		if page.Next >= page.End {
			break
		}
		from = page.Next
	}
	if r.newest == nil {
		return 0, ErrNoSnapshot
	}
	if err := json.Unmarshal(r.newest, into); err != nil {
		return 0, errors.Wrapf(ErrNoSnapshot, "decode snapshot: %v", err)
	}
	return r.offset, nil
}

// snapshotReader assembles snapshots from their chunks and keeps the newest
// complete one.
type snapshotReader struct {
	chunks map[string]map[int][]byte
	newest []byte
	offset int64
}

func (r *snapshotReader) add(record port.Record) {
	switch record.Kind {
	case KindChunk:
		var c chunk
		if json.Unmarshal(record.Data, &c) != nil {
			return // the checksum of its snapshot will not match
		}
		if r.chunks[c.Snapshot] == nil {
			r.chunks[c.Snapshot] = map[int][]byte{}
		}
		r.chunks[c.Snapshot][c.Index] = c.Data
	case KindManifest:
		var m manifest
		if json.Unmarshal(record.Data, &m) == nil && m.Format == snapshotFormat {
			r.complete(m)
		}
	}
}

func (r *snapshotReader) complete(m manifest) {
	var raw []byte
	for i := range m.Chunks {
		raw = append(raw, r.chunks[m.Snapshot][i]...)
	}
	delete(r.chunks, m.Snapshot)
	if checksum(raw) == m.SHA256 && (r.newest == nil || m.Offset >= r.offset) {
		r.newest, r.offset = raw, m.Offset
	}
}
