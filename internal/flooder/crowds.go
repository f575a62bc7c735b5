package flooder

// Sizes are the sizes of the crowds of Crowds, and what their callers send.
type Sizes struct {
	// BodyCallers is the number of callers that send bodies, and ConnCallers of those that only open
	// connections or send small requests.
	BodyCallers, ConnCallers int
	// Head is the head of requests, without header lines about the body.
	Head string
	// BodyBytes is the size of the largest body that the interface allows, and HeadBytes that of a
	// half-sent head.
	BodyBytes, HeadBytes int
	// Usual is a complete small request, after which the connection stays open.
	Usual Request
	// Last is sent by some callers of the mixed crowd, beside bodies and half-sent heads.
	Last Request
}

const (
	// manyAttempts are those of callers whose requests end, fewAttempts of callers that stop.
	manyAttempts, fewAttempts = 4, 2
	// maxPieceBytes is the largest size of a piece or a usual chunk, maxLargeChunkBytes and
	// maxSmallChunkBytes are those of large and small chunks.
	maxPieceBytes, maxLargeChunkBytes, maxSmallChunkBytes = 64 << 10, 256 << 10, 64
	smallBodyBytes                                        = 2000
)

// Crowds returns crowds by the rule that their callers ignore, without address and seed.
func Crowds(s Sizes) map[string]Config {
	return map[string]Config{
		"whole bodies":                  {Callers: s.BodyCallers, Attempts: manyAttempts, Request: Whole(s.Head, s.BodyBytes)},
		"bodies short of the end":       {Callers: s.BodyCallers, Attempts: fewAttempts, Request: Announced(s.Head, s.BodyBytes, 1)},
		"bodies in pieces":              {Callers: s.BodyCallers, Attempts: fewAttempts, Request: Pieces(s.Head, s.BodyBytes, maxPieceBytes)},
		"large chunks":                  {Callers: s.BodyCallers, Attempts: fewAttempts, Request: Chunked(s.Head, s.BodyBytes, maxLargeChunkBytes, false)},
		"small chunks":                  {Callers: s.BodyCallers, Attempts: fewAttempts, Request: Chunked(s.Head, s.BodyBytes, maxSmallChunkBytes, false)},
		"whole bodies in chunks":        {Callers: s.BodyCallers, Attempts: manyAttempts, Request: Chunked(s.Head, s.BodyBytes, maxPieceBytes, true)},
		"announced far over the limit":  {Callers: s.BodyCallers, Attempts: manyAttempts, Request: Announced(s.Head, 64*s.BodyBytes, 60*s.BodyBytes)},
		"sent far over the limit":       {Callers: s.BodyCallers, Attempts: manyAttempts, Request: Chunked(s.Head, 4*s.BodyBytes, maxPieceBytes, false)},
		"half-sent heads":               {Callers: s.ConnCallers, Attempts: 1, Request: HalfHead(s.Head, s.HeadBytes)},
		"silent connections":            {Callers: s.ConnCallers, Attempts: 1, Request: Silent()},
		"idle connections":              {Callers: s.ConnCallers, Attempts: 1, Request: s.Usual},
		"small bodies short of the end": {Callers: s.ConnCallers, Attempts: 1, Request: Announced(s.Head, smallBodyBytes, 1)},
		"mixed":                         Mixed(s),
	}
}

// Mixed returns a crowd whose callers send different kinds of requests.
func Mixed(s Sizes) Config {
	return Config{Callers: s.ConnCallers, Attempts: manyAttempts, Request: AnyOf(
		Whole(s.Head, s.BodyBytes), Pieces(s.Head, s.BodyBytes, maxPieceBytes), Chunked(s.Head, s.BodyBytes, maxSmallChunkBytes, false),
		Chunked(s.Head, 4*s.BodyBytes, maxPieceBytes, false), HalfHead(s.Head, s.HeadBytes), s.Last)}
}
