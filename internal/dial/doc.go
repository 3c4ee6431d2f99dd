// Package dial opens connections to endpoints.
package dial
