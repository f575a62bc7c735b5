package validator_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"flamingoledge.org/flamingoledge/internal/validator"
)

func TestHead(t *testing.T) {
	tests := map[string]struct {
		head    string
		invalid bool
	}{
		"usual":                        {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
		"no fields":                    {head: "HTTP/1.1 200 OK\r\n\r\n"},
		"no reason":                    {head: "HTTP/1.1 200 \r\n\r\n"},
		"reason with blanks":           {head: "HTTP/1.1 404 not\tfound \xe4\r\n\r\n"},
		"HTTP/1.0":                     {head: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n"},
		"informational":                {head: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"highest status":               {head: "HTTP/1.1 599 x\r\n\r\n"},
		"chunks":                       {head: "HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked \r\n\r\n"},
		"name with all characters":     {head: "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n"},
		"empty value":                  {head: "HTTP/1.1 200 OK\r\nA:\r\n\r\n"},
		"value with blanks":            {head: "HTTP/1.1 200 OK\r\nA: \tx y\xff \r\n\r\n"},
		"length repeated":              {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\ncontent-length: 5\r\n\r\n"},
		"no content with length 0":     {head: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
		"not modified with length":     {head: "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
		"empty line first":             {head: "\r\nHTTP/1.1 200 OK\r\n\r\n", invalid: true},
		"other protocol":               {head: "ICY 200 OK\r\n\r\n", invalid: true},
		"lower case":                   {head: "http/1.1 200 OK\r\n\r\n", invalid: true},
		"HTTP/2.0":                     {head: "HTTP/2.0 200 OK\r\n\r\n", invalid: true},
		"HTTP/0.9":                     {head: "HTTP/0.9 200 OK\r\n\r\n", invalid: true},
		"HTTP/1.7":                     {head: "HTTP/1.7 200 OK\r\n\r\n", invalid: true},
		"status 000":                   {head: "HTTP/1.1 000 OK\r\n\r\n", invalid: true},
		"status 020":                   {head: "HTTP/1.1 020 OK\r\n\r\n", invalid: true},
		"status 099":                   {head: "HTTP/1.1 099 OK\r\n\r\n", invalid: true},
		"status 600":                   {head: "HTTP/1.1 600 OK\r\n\r\n", invalid: true},
		"status 999":                   {head: "HTTP/1.1 999 OK\r\n\r\n", invalid: true},
		"status with a sign":           {head: "HTTP/1.1 +20 OK\r\n\r\n", invalid: true},
		"status of two digits":         {head: "HTTP/1.1 20 OK\r\n\r\n", invalid: true},
		"status of four digits":        {head: "HTTP/1.1 2000 OK\r\n\r\n", invalid: true},
		"status with a letter":         {head: "HTTP/1.1 2x0 OK\r\n\r\n", invalid: true},
		"no status":                    {head: "HTTP/1.1\r\n\r\n", invalid: true},
		"no blank after the status":    {head: "HTTP/1.1 200\r\n\r\n"},
		"no blank before the reason":   {head: "HTTP/1.1 200OK\r\n\r\n", invalid: true},
		"two blanks":                   {head: "HTTP/1.1  200 OK\r\n\r\n", invalid: true},
		"tab before the status":        {head: "HTTP/1.1\t200 OK\r\n\r\n", invalid: true},
		"other protocol unasked":       {head: "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", invalid: true},
		"control character in reason":  {head: "HTTP/1.1 200 O\x00K\r\n\r\n", invalid: true},
		"blank in a name":              {head: "HTTP/1.1 200 OK\r\nA B: x\r\n\r\n", invalid: true},
		"blank after a name":           {head: "HTTP/1.1 200 OK\r\nA : x\r\n\r\n", invalid: true},
		"tab in a name":                {head: "HTTP/1.1 200 OK\r\nA\tB: x\r\n\r\n", invalid: true},
		"control character in a name":  {head: "HTTP/1.1 200 OK\r\nA\x01B: x\r\n\r\n", invalid: true},
		"delete character in a name":   {head: "HTTP/1.1 200 OK\r\nA\x7f: x\r\n\r\n", invalid: true},
		"byte above ASCII in a name":   {head: "HTTP/1.1 200 OK\r\n\xe4: x\r\n\r\n", invalid: true},
		"separator in a name":          {head: "HTTP/1.1 200 OK\r\nA(B): x\r\n\r\n", invalid: true},
		"empty name":                   {head: "HTTP/1.1 200 OK\r\n: x\r\n\r\n", invalid: true},
		"no colon":                     {head: "HTTP/1.1 200 OK\r\nA\r\n\r\n", invalid: true},
		"folded line":                  {head: "HTTP/1.1 200 OK\r\nA: x\r\n y: z\r\n\r\n", invalid: true},
		"folded line first":            {head: "HTTP/1.1 200 OK\r\n A: x\r\n\r\n", invalid: true},
		"control character in a value": {head: "HTTP/1.1 200 OK\r\nA: x\x00y\r\n\r\n", invalid: true},
		"CR in a value":                {head: "HTTP/1.1 200 OK\r\nA: x\ry\r\n\r\n", invalid: true},
		"lines that end with LF":       {head: "HTTP/1.1 200 OK\nA: x\n\n", invalid: true},
		"head that ends with LF":       {head: "HTTP/1.1 200 OK\r\nA: x\r\n\n", invalid: true},
		"lines that end with CRCRLF":   {head: "HTTP/1.1 200 OK\r\r\n\r\n", invalid: true},
		"two lengths":                  {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", invalid: true},
		"list of lengths":              {head: "HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\n", invalid: true},
		"length with a sign":           {head: "HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n", invalid: true},
		"negative length":              {head: "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", invalid: true},
		"empty length":                 {head: "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", invalid: true},
		"hexadecimal length":           {head: "HTTP/1.1 200 OK\r\nContent-Length: 0x5\r\n\r\n", invalid: true},
		"huge length":                  {head: "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", invalid: true},
		"length and chunks":            {head: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", invalid: true},
		"chunks in HTTP/1.0":           {head: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", invalid: true},
		"chunks twice":                 {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", invalid: true},
		"compressed chunks":            {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", invalid: true},
		"identity":                     {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\n", invalid: true},
		"no content with a length":     {head: "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", invalid: true},
		"no content with chunks":       {head: "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", invalid: true},
		"informational with a body":    {head: "HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n", invalid: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const body = "HTTP/1.1 \r\n\r\n\n\x00"
			for _, step := range []int{1, 7, len(tc.head + body)} {
				size, err := scanInSteps(tc.head+body, step)
				var invalid *validator.HeadError
				is.Equal(errors.As(err, &invalid), tc.invalid)
				if !tc.invalid {
					is.Equal(size, len(tc.head))
				}
			}
		})
	}
}

func TestTrailer(t *testing.T) {
	tests := map[string]struct {
		trailer string
		invalid bool
	}{
		"none":                   {trailer: "\r\n"},
		"field":                  {trailer: "A: x\r\n\r\n"},
		"blank in a name":        {trailer: "A B: x\r\n\r\n", invalid: true},
		"folded line":            {trailer: "A: x\r\n y\r\n\r\n", invalid: true},
		"line that ends with LF": {trailer: "A: x\n\r\n", invalid: true},
		"length":                 {trailer: "Content-Length: 5\r\n\r\n", invalid: true},
		"transfer encoding":      {trailer: "Transfer-Encoding: chunked\r\n\r\n", invalid: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			size, err := validator.NewTrailer().Scan([]byte(tc.trailer + "x"))
			is.Equal(err != nil, tc.invalid)
			if !tc.invalid {
				is.Equal(size, len(tc.trailer))
			}
		})
	}
}

// scanInSteps scans bytes that arrive in parts.
func scanInSteps(s string, step int) (size int, err error) {
	var h validator.Head
	for n := 0; n < len(s) && size == 0 && err == nil; {
		n = min(n+step, len(s))
		size, err = h.Scan([]byte(s[:n]))
	}
	return size, err
}

// TestIncompleteHead checks that no part of a head is taken for a whole one.
func TestIncompleteHead(t *testing.T) {
	is := is.New(t)
	head := "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: " + strings.Repeat("x", 100) + "\r\n\r\n"
	for n := range len(head) {
		var h validator.Head
		size, err := h.Scan([]byte(head[:n]))
		is.NoErr(err)
		is.Equal(size, 0)
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbytes"), 3)
	f.Fuzz(func(t *testing.T, b []byte, step int) {
		var h validator.Head
		size, err := h.Scan(b)
		inSteps, stepErr := scanInSteps(string(b), max(step, 1))
		if size != inSteps || (err == nil) != (stepErr == nil) {
			t.Fatalf("%d, %v at once, %d, %v in steps of %d", size, err, inSteps, stepErr, step)
		}
		if size > 0 && !strings.HasSuffix(string(b[:size]), "\r\n\r\n") {
			t.Fatalf("head %q", b[:size])
		}
	})
}
