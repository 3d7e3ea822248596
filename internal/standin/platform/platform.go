// Package platform stands in for the platform: its transactional table, its
// object store and its list of VMs, as JSON over HTTP and as a type for unit
// tests. It fails on demand in the ways that the real one is known to fail:
// down, slow, and with an answer lost after the write took effect.
package platform

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/kumquatlug/kumquatlug/internal/standin"
	"github.com/kumquatlug/kumquatlug/pkg/kumquatlug"
)

// maxBody bounds one request; it is far above what the project stores.
const maxBody = 64 << 20

// Config is what a [Server] is made of.
type Config struct {
	// Memory is the platform to serve; a new one by default.
	Memory *Memory
	// Token is the bearer token that every request must carry; empty for none.
	Token string
	// Lag is how late a change of the list of VMs is seen, in milliseconds;
	// zero keeps what Memory has.
	Lag kumquatlug.Millis
	// VMs is the list to start with, seen at once.
	VMs []kumquatlug.VM
}

// Server serves a [Memory] over HTTP.
type Server struct {
	memory *Memory
	token  string
}

// New returns a server for c.
func New(c Config) *Server {
	s := &Server{memory: c.Memory, token: c.Token}
	if s.memory == nil {
		s.memory = NewMemory()
	}
	for _, v := range c.VMs {
		s.memory.SetVM(v)
	}
	if c.Lag > 0 {
		s.memory.SetLag(c.Lag)
	}
	return s
}

// Memory returns the platform that is served.
func (s *Server) Memory() *Memory { return s.memory }

// Handler returns the platform's API. Faults are set and counts are read
// without a delay and also while the platform is down.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /table/row", s.getRow)
	mux.HandleFunc("GET /table/scan", s.scan)
	mux.HandleFunc("POST /table/commit", s.commit)
	mux.HandleFunc("PUT /objects/{name...}", s.putObject)
	mux.HandleFunc("GET /objects/{name...}", s.getObject)
	mux.HandleFunc("GET /vms", s.listVMs)
	mux.HandleFunc("PUT /vms/{name}", s.setVM)
	mux.HandleFunc("DELETE /vms/{name}", s.removeVM)
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", s.getCounts)
	return s.authorized(mux)
}

func (s *Server) authorized(next http.Handler) http.Handler {
	want := []byte("Bearer " + s.token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if s.token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			standin.Reply(w, http.StatusUnauthorized, errorBody(errors.New("wrong token")))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r)
	})
}

type rowBody struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"version"`
}

func (s *Server) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := s.memory.Get(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		fail(w, err)
		return
	}
	standin.Reply(w, http.StatusOK, rowBody{row.Key(), row.Value(), row.Version()})
}

func (s *Server) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 0
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			standin.Reply(w, http.StatusBadRequest, errorBody(err))
			return
		}
		limit = n
	}
	rows, err := s.memory.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		fail(w, err)
		return
	}
	body := struct {
		Rows []rowBody `json:"rows"`
	}{Rows: make([]rowBody, 0, len(rows))}
	for _, row := range rows {
		body.Rows = append(body.Rows, rowBody{row.Key(), row.Value(), row.Version()})
	}
	standin.Reply(w, http.StatusOK, body)
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID         string `json:"id"`
		Conditions []struct {
			Key     string `json:"key"`
			Version int64  `json:"version"`
		} `json:"conditions"`
		Writes []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			Deleted bool   `json:"deleted"`
		} `json:"writes"`
	}
	if !read(w, r, &body) {
		return
	}
	tx := kumquatlug.NewTx(body.ID)
	for _, c := range body.Conditions {
		tx = tx.If(c.Key, c.Version)
	}
	for _, x := range body.Writes {
		if x.Deleted {
			tx = tx.Delete(x.Key)
			continue
		}
		tx = tx.Put(x.Key, x.Value)
	}
	if err := s.memory.Commit(r.Context(), tx); err != nil {
		fail(w, err)
		return
	}
	standin.Reply(w, http.StatusOK, struct{}{})
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		standin.Reply(w, http.StatusBadRequest, errorBody(err))
		return
	}
	if err := s.memory.Put(r.Context(), r.PathValue("name"), body); err != nil {
		fail(w, err)
		return
	}
	standin.Reply(w, http.StatusOK, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	body, err := s.memory.Fetch(r.Context(), r.PathValue("name"))
	if err != nil {
		fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Write(body)
}

type vmBody struct {
	Name    string             `json:"name"`
	Role    kumquatlug.VMRole  `json:"role"`
	Address string             `json:"address"`
	Zone    string             `json:"zone"`
	State   kumquatlug.VMState `json:"state"`
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	vms, err := s.memory.List(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	body := struct {
		VMs []vmBody `json:"vms"`
	}{VMs: make([]vmBody, 0, len(vms))}
	for _, v := range vms {
		body.VMs = append(body.VMs, vmBody{v.Name(), v.Role(), v.Address(), v.Zone(), v.State()})
	}
	standin.Reply(w, http.StatusOK, body)
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	var body vmBody
	if !read(w, r, &body) {
		return
	}
	if body.State == "" {
		body.State = kumquatlug.VMLive
	}
	s.memory.SetVM(kumquatlug.NewVM(kumquatlug.VMConfig{
		Name: r.PathValue("name"), Role: body.Role, Address: body.Address, Zone: body.Zone, State: body.State,
	}))
	standin.Reply(w, http.StatusOK, struct{}{})
}

func (s *Server) removeVM(w http.ResponseWriter, r *http.Request) {
	s.memory.RemoveVM(r.PathValue("name"))
	standin.Reply(w, http.StatusOK, struct{}{})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !read(w, r, &f) {
		return
	}
	s.memory.SetFaults(f)
	standin.Reply(w, http.StatusOK, f)
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	c := s.memory.Counts()
	standin.Reply(w, http.StatusOK, struct {
		Reads       int64 `json:"reads"`
		Writes      int64 `json:"writes"`
		RowsWritten int64 `json:"rows_written"`
	}{c.Reads(), c.Writes(), c.RowsWritten()})
}

// fail answers with the status that err's mark stands for. A lost answer cuts
// the connection: the client can't know whether its write took effect.
func fail(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, kumquatlug.ErrLost):
		panic(http.ErrAbortHandler)
	case errors.Is(err, kumquatlug.ErrConflict):
		standin.Reply(w, http.StatusConflict, errorBody(err))
	case errors.Is(err, kumquatlug.ErrNotFound):
		standin.Reply(w, http.StatusNotFound, errorBody(err))
	default:
		standin.Reply(w, http.StatusServiceUnavailable, errorBody(err))
	}
}

func read(w http.ResponseWriter, r *http.Request, body any) bool {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		standin.Reply(w, http.StatusBadRequest, errorBody(err))
		return false
	}
	return true
}

func errorBody(err error) any {
	return struct {
		Error string `json:"error"`
	}{err.Error()}
}
