package deployment

import (
	"bytes"
	"compress/gzip"
	"io"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// maxDocument bounds a decompressed document, in bytes.
const maxDocument = 16 << 20

// Pack compresses a configuration document for PutConfig.
func Pack(document []byte) ([]byte, error) {
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

// Unpack returns the document of a configuration as it was received.
func Unpack(c *schema.DeploymentConfig) ([]byte, error) {
	z, err := gzip.NewReader(bytes.NewReader(c.GetDocument()))
	if err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decompress the configuration")
	}
	b, err := io.ReadAll(io.LimitReader(z, maxDocument))
	if err != nil {
		return nil, serving.WrapError(err, serving.KindDamaged, "decompress the configuration")
	}
	return b, nil
}
