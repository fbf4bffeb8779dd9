// Package configuration contains the declarations of operators: client accounts
// with their guaranteed shapes, teams, and classes. It validates declarations as a
// whole and applies the changes in the log as versions that only increase.
package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/cobalttide/cobalttide/domain"
)

// Declarations are the operators' declarations for one deployment.
type Declarations struct {
	// Accounts are the client accounts by id.
	Accounts map[domain.AccountID]domain.ClientAccount `json:"accounts"`
	// Classes are the classes of requests and jobs by name.
	Classes map[domain.ClassName]domain.Class `json:"classes"`
	// OperatorTokenHashes are the hex SHA-256 hashes of operators' tokens.
	OperatorTokenHashes []string `json:"operator_token_hashes"`
}

// Clone returns a deep copy, made by encoding to JSON and decoding.
func (d Declarations) Clone() Declarations {
	raw, err := json.Marshal(d)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "marshal declarations"))
	}
	var out Declarations
	if err := json.Unmarshal(raw, &out); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "unmarshal declarations"))
	}
	return out
}

// Problem is one error in a declaration or a settings file.
type Problem struct {
	// File and Line locate the error; Line is 0 if it is not known.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Field is the path of the field, such as "accounts.tyseley.weight".
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	return strings.TrimPrefix(fmt.Sprintf("%s: %s: %s; %s", where, p.Field, p.Message, p.Remedy), ": ")
}

// Problems are all errors that one validation found.
type Problems []Problem

// Error implements error, with one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems as an error, or nil when there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// DecodeStrict decodes JSON with comments into target and rejects unknown fields.
// The returned problem contains the line of the error; it is nil on success.
func DecodeStrict(file string, raw []byte, target any) *Problem {
	standard, err := hujson.Standardize(bytes.Clone(raw))
	if err != nil {
		return &Problem{File: file, Line: lineOfSyntaxError(err), Field: "-", Message: err.Error(),
			Remedy: "correct the JSON; comments and trailing commas are allowed"}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return decodeProblem(file, standard, decoder.InputOffset(), err)
	}
	return nil
}

func lineOfSyntaxError(err error) int {
	var line, column int
	text := err.Error()
	if at := strings.Index(text, "line "); at >= 0 {
		if _, scanErr := fmt.Sscanf(text[at:], "line %d, column %d", &line, &column); scanErr != nil {
			return 0
		}
	}
	return line
}

func decodeProblem(file string, raw []byte, offset int64, err error) *Problem {
	problem := &Problem{File: file, Field: "-", Message: err.Error(), Remedy: "see docs/operators for the fields and their types"}
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		problem.Field = wrongType.Field
		offset = wrongType.Offset
		problem.Remedy = "write a value of type " + wrongType.Type.String()
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		problem.Field = strings.Trim(name, `"`)
		problem.Remedy = "remove the field, or correct its spelling"
		offset = int64(bytes.Index(raw, []byte(name)))
	}
	problem.Line = LineAt(raw, offset)
	return problem
}

// LineAt returns the line number, counted from 1, of an offset, or 0 if the offset
// is out of range.
func LineAt(raw []byte, offset int64) int {
	if offset < 0 || offset > int64(len(raw)) {
		return 0
	}
	return 1 + bytes.Count(raw[:offset], []byte("\n"))
}

// LoadDirectory reads and merges all *.json files of a directory of declarations.
// It reports a problem for a name that two files declare.
func LoadDirectory(directory string) (Declarations, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil || len(files) == 0 {
		return Declarations{}, Problems{{File: directory, Field: "-", Message: "no declarations found",
			Remedy: "specify a directory that contains *.json files"}}
	}
	sort.Strings(files)
	merged := Declarations{
		Accounts: map[domain.AccountID]domain.ClientAccount{},
		Classes:  map[domain.ClassName]domain.Class{},
	}
	var problems Problems
	for _, file := range files {
		problems = append(problems, mergeFile(&merged, file)...)
	}
	return merged, problems.Err()
}

func mergeFile(merged *Declarations, file string) Problems {
	raw, err := os.ReadFile(file)
	if err != nil {
		return Problems{{File: file, Field: "-", Message: err.Error(), Remedy: "make the file readable"}}
	}
	var declarations Declarations
	if problem := DecodeStrict(file, raw, &declarations); problem != nil {
		return Problems{*problem}
	}
	var problems Problems
	for id, account := range declarations.Accounts {
		if _, duplicate := merged.Accounts[id]; duplicate {
			problems = append(problems, duplicateDeclaration(file, "accounts."+string(id)))
		}
		merged.Accounts[id] = account
	}
	for name, class := range declarations.Classes {
		if _, duplicate := merged.Classes[name]; duplicate {
			problems = append(problems, duplicateDeclaration(file, "classes."+string(name)))
		}
		merged.Classes[name] = class
	}
	merged.OperatorTokenHashes = append(merged.OperatorTokenHashes, declarations.OperatorTokenHashes...)
	return problems
}

func duplicateDeclaration(file, field string) Problem {
	return Problem{File: file, Field: field, Message: "declared in two files", Remedy: "remove one of the two declarations"}
}
