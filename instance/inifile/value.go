package inifile

import (
	"net"
	"reflect"
	"strconv"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[time.Duration]()

// setValue parses text into v. It returns what is expected instead, or "" on success.
func setValue(v reflect.Value, text string) string {
	if v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return "a duration such as 250ms or 1.4s is needed"
		}
		v.SetInt(int64(d))
		return ""
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		return setBool(v, text)
	case reflect.Int, reflect.Int64:
		return setInt(v, text)
	case reflect.Uint64:
		return setUint(v, text)
	case reflect.Float64:
		return setFloat(v, text)
	case reflect.Slice:
		v.Set(reflect.ValueOf(splitList(text)))
	default:
		return "not settable"
	}
	return ""
}

func setBool(v reflect.Value, text string) string {
	b, err := strconv.ParseBool(text)
	if err != nil {
		return "true or false is needed"
	}
	v.SetBool(b)
	return ""
}

func setInt(v reflect.Value, text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return "a whole number is needed"
	}
	v.SetInt(n)
	return ""
}

func setUint(v reflect.Value, text string) string {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return "a whole number from 0 on is needed"
	}
	v.SetUint(n)
	return ""
}

func setFloat(v reflect.Value, text string) string {
	x, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return "a number is needed"
	}
	v.SetFloat(x)
	return ""
}

func splitList(text string) []string {
	var out []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = append(out, part)
		}
	}
	return out
}

// validate returns what is expected instead, or "" if the value is allowed.
func validate(v reflect.Value, text, allow string) string {
	switch {
	case allow == "":
		return ""
	case allow == "address":
		return checkAddresses(v, text)
	case strings.Contains(allow, ".."):
		low, high, _ := strings.Cut(allow, "..")
		if !inRange(v, low, high) {
			return "allowed is " + low + " to " + high
		}
		return ""
	case !contains(strings.Split(allow, "|"), text):
		return "allowed is one of " + strings.ReplaceAll(allow, "|", ", ")
	}
	return ""
}

func checkAddresses(v reflect.Value, text string) string {
	list := []string{text}
	if v.Kind() == reflect.Slice {
		list = v.Interface().([]string)
	}
	for _, a := range list {
		if !isAddress(a) {
			return "an IP number with a port is needed, such as 127.0.0.1:8080"
		}
	}
	return ""
}

func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n >= 0 && n <= 65535
}

func inRange(v reflect.Value, low, high string) bool {
	bound := reflect.New(v.Type()).Elem()
	return compareWith(v, bound, low) >= 0 && compareWith(v, bound, high) <= 0
}

func compareWith(v, bound reflect.Value, text string) int {
	setValue(bound, text)
	x, y := toFloat(v), toFloat(bound)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

func toFloat(v reflect.Value) float64 {
	switch {
	case v.CanInt():
		return float64(v.Int())
	case v.CanUint():
		return float64(v.Uint())
	}
	return v.Float()
}

func contains(list []string, s string) bool {
	for _, e := range list {
		if e == s {
			return true
		}
	}
	return false
}
