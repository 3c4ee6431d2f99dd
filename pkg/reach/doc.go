// Package reach describes how an instance reaches endpoints.
package reach
