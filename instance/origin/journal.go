package origin

import (
	"context"
	"path/filepath"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/comfreyladder/comfreyladder/core/control"
	"github.com/comfreyladder/comfreyladder/core/fault"
	"github.com/comfreyladder/comfreyladder/core/origin"
	"github.com/comfreyladder/comfreyladder/instance/clock"
	"github.com/comfreyladder/comfreyladder/instance/disk"
	"github.com/comfreyladder/comfreyladder/instance/wal"
)

const (
	journalDir = "origins"
	// journalRetry is the pause before a disk that refused a write is used again.
	journalRetry = time.Second
	// journalSegment is the size of a file, in bytes; markInterval is the time after which what has
	// expired is removed.
	journalSegment, markInterval = 256 << 10, 10 * time.Second
	// maxUnwritten bounds the streams that wait for the disk.
	maxUnwritten = 1 << 18
)

// record lists streams that began, as they are kept on disk.
type record struct {
	// At is when it was written, in seconds since the Unix epoch.
	At     int64   `codec:"a"`
	Groups []Group `codec:"g"`
}

// mark is the sequence number of the first record that was written after a time.
type mark struct {
	at    time.Time
	first uint64
}

// journal keeps on disk what a member was told, for as long as it remembers it. What the disk refuses
// is lost: the member goes on with what it remembers.
type journal struct {
	fs     disk.FS
	dir    string
	log    zerolog.Logger
	replay func([]Group)
	urgent chan struct{}

	mu        sync.Mutex
	unwritten map[origin.Origin][]origin.Key
	count     int

	// Only run uses these.
	file  *wal.Log
	marks []mark
}

func newJournal(fs disk.FS, folder string, log zerolog.Logger, replay func([]Group)) *journal {
	return &journal{fs: fs, dir: filepath.Join(folder, journalDir), log: log, replay: replay, urgent: make(chan struct{}, 1), unwritten: map[origin.Origin][]origin.Key{}}
}

// add queues streams without waiting for the disk. If too many wait, they are not kept.
func (j *journal) add(b *Begun) {
	j.mu.Lock()
	for i := range b.Groups {
		g := &b.Groups[i]
		if j.count+len(g.Streams) > maxUnwritten {
			break
		}
		at := origin.Origin{Service: g.Service, Software: g.Software}
		j.unwritten[at] = append(j.unwritten[at], g.Streams...)
		j.count += len(g.Streams)
	}
	j.mu.Unlock()
	if !b.Urgent {
		return
	}
	select {
	case j.urgent <- struct{}{}:
	default:
	}
}

func (j *journal) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := j.open()
		for err == nil && j.await(ctx) {
			err = j.flush(clock.Now())
		}
		if err == nil {
			err = j.flush(clock.Now())
		}
		if j.file != nil {
			_ = j.file.Close()
			j.file = nil
		}
		if err != nil {
			j.log.Error().Err(err).Str("event", "origins_not_kept").Dur("retry_in", journalRetry).Msg("origins of streams are in memory only")
			clock.Sleep(ctx, journalRetry)
		}
	}
}

// await waits for the next time to write: soon while upstreams of a service run several versions.
func (j *journal) await(ctx context.Context) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-j.urgent:
		return clock.Sleep(ctx, urgentInterval)
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// open reads the journal. A damaged one is removed: instances that go on tell what was in it again.
func (j *journal) open() error {
	file, err := wal.Open(j.fs, j.dir, journalSegment, j.read)
	if fault.CodeOf(err) == fault.Corrupt {
		j.log.Error().Err(err).Str("event", "origins_lost").Msg("damaged journal of origins is removed")
		if err = j.remove(); err != nil {
			return err
		}
		file, err = wal.Open(j.fs, j.dir, journalSegment, j.read)
	}
	if err != nil {
		return err
	}
	j.file, j.marks = file, []mark{{at: clock.Now(), first: file.Next()}}
	return nil
}

func (j *journal) remove() error {
	names, err := j.fs.List(j.dir)
	for _, name := range names {
		if err == nil {
			err = j.fs.Remove(filepath.Join(j.dir, name))
		}
	}
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "empty %s", j.dir)
	}
	return nil
}

func (j *journal) read(_ uint64, data []byte) error {
	var r record
	if err := control.Unmarshal(data, &r); err != nil {
		return err
	}
	if time.Since(time.Unix(r.At, 0)) < origin.MaxLifetime {
		j.replay(r.Groups)
	}
	return nil
}

func (j *journal) flush(now time.Time) error {
	j.mu.Lock()
	unwritten := j.unwritten
	j.unwritten, j.count = map[origin.Origin][]origin.Key{}, 0
	j.mu.Unlock()
	if len(unwritten) == 0 {
		return nil
	}
	r := record{At: time.Now().Unix()}
	for at, streams := range unwritten {
		r.Groups = append(r.Groups, Group{at.Service, at.Software, streams})
	}
	data, err := control.Marshal(&r)
	if err != nil {
		return err
	}
	if _, err := j.file.Append(data); err != nil {
		return err
	}
	return j.expire(now)
}

// expire removes files that hold only records that nobody asks for any more.
func (j *journal) expire(now time.Time) error {
	if now.Sub(j.marks[len(j.marks)-1].at) < markInterval {
		return nil
	}
	j.marks = append(j.marks, mark{at: now, first: j.file.Next()})
	expired := 0
	for expired+1 < len(j.marks) && now.Sub(j.marks[expired+1].at) > origin.MaxLifetime {
		expired++
	}
	j.marks = j.marks[expired:]
	if now.Sub(j.marks[0].at) <= origin.MaxLifetime {
		return nil
	}
	return j.file.TruncateHead(j.marks[0].first)
}
