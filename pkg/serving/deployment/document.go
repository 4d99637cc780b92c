package deployment

import (
	"bytes"
	"compress/gzip"
	"io"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxDocumentBytes bounds the size of a decompressed document. Decompress cuts off
// what exceeds it, without an error.
const maxDocumentBytes = 16 << 20

// Compress compresses a configuration document for PutConfig.
func Compress(document []byte) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	_, err := z.Write(document)
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		return nil, serving.WrapError(err, serving.KindInternal, "compress the configuration")
	}
	return b.Bytes(), nil
}

// Decompress returns the document of a configuration, byte for byte as it was passed
// to Compress.
func Decompress(c *schema.DeploymentConfig) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(c.GetDocument()))
	if err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decompress the configuration")
	}
	b, err := io.ReadAll(io.LimitReader(z, maxDocumentBytes))
	if err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decompress the configuration")
	}
	return b, nil
}
