// Command generate makes the Go code of the project's .proto files with
// protoc-gen-go and protoc-gen-go-grpc, without protoc.
//
// Usage, in the folder tools/generate: go run . ROOT FILE.proto...
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// filePermissions of what is written.
const filePermissions = 0o644

func main() {
	if err := run(os.Args[1], os.Args[2:]); err != nil {
		fmt.Fprintln(os.Stderr, "generate:", err)
		os.Exit(1)
	}
}

func run(root string, files []string) error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{root}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return fmt.Errorf("compile: %w", err)
	}
	var descriptors []*descriptorpb.FileDescriptorProto
	for _, f := range compiled {
		descriptors = append(descriptors, protoutil.ProtoFromFileDescriptor(f))
	}
	for _, plugin := range []string{"protoc-gen-go", "protoc-gen-go-grpc"} {
		if err := generate(plugin, root, files, descriptors); err != nil {
			return fmt.Errorf("run %s: %w", plugin, err)
		}
	}
	return nil
}

func generate(plugin, root string, files []string, descriptors []*descriptorpb.FileDescriptorProto) error {
	request, err := proto.Marshal(&pluginpb.CodeGeneratorRequest{
		FileToGenerate: files,
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      descriptors,
	})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	command := exec.Command("go", "tool", plugin)
	command.Stdin = bytes.NewReader(request)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return fmt.Errorf("plugin failed: %w", err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	if response.Error != nil {
		return fmt.Errorf("plugin refused: %s", response.GetError())
	}
	for _, f := range response.File {
		if err := os.WriteFile(filepath.Join(root, f.GetName()), []byte(f.GetContent()), filePermissions); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return nil
}
