// Package openai holds the JSON types of the callers' API and validates requests without changing their unknown fields.
package openai
