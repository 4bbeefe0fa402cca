// Text from outside in messages between processes and in records: it travels as bytes.
#include "wire/stage.pb.h"

#include <catch2/catch.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>
#include <rapidcheck.h>

#include <memory>
#include <string>

namespace kumquat {
namespace {

using Descriptor = google::protobuf::Descriptor;
using FieldProto = google::protobuf::FieldDescriptorProto;

// The schema in which all bytes are text, as processes of an earlier version have it.
class TextSchema
{
public:
    TextSchema()
        : factory(&this->pool)
    {
        google::protobuf::FileDescriptorProto file;
        wire::LinkFrame::descriptor()->file()->CopyTo(&file);
        for (auto &message : *file.mutable_message_type()) {
            for (FieldProto &field : *message.mutable_field()) {
                if (field.type() == FieldProto::TYPE_BYTES && !isBytesThere(message, field)) {
                    field.set_type(FieldProto::TYPE_STRING);
                }
            }
        }
        this->pool.BuildFile(file);
    }

    std::unique_ptr<google::protobuf::Message> create(const std::string &name)
    {
        const Descriptor *type = this->pool.FindMessageTypeByName(name);
        return std::unique_ptr<google::protobuf::Message>(this->factory.GetPrototype(type)->New());
    }

private:
    static bool isBytesThere(const google::protobuf::DescriptorProto &message,
                             const FieldProto &field)
    {
        return message.name() == "PackedKeyTable" || message.name() == "InstanceRecord"
               || (message.name() == "StateItem" && field.name() == "value")
               || (message.name() == "StateReply" && field.name() == "config");
    }

    google::protobuf::DescriptorPool pool;
    google::protobuf::DynamicMessageFactory factory;
};

wire::LinkFrame makeExecute(const std::string &bytes)
{
    wire::LinkFrame frame;
    wire::Execute &execute = *frame.mutable_execute();
    execute.set_id(bytes);
    execute.set_method(bytes);
    execute.set_target(bytes);
    wire::Field &field = *execute.add_fields();
    field.set_name(bytes);
    field.set_value(bytes);
    return frame;
}

} // namespace

// Guards against a connection between processes that one caller or upstream closes, with all calls
// on it: a text field whose bytes are not UTF-8 makes the whole message unreadable.
TEST_CASE("no message or record has a text field", "[wire]")
{
    const auto *file = wire::LinkFrame::descriptor()->file();
    for (int i = 0; i < file->message_type_count(); ++i) {
        const Descriptor *message = file->message_type(i);
        for (int j = 0; j < message->field_count(); ++j) {
            INFO(message->field(j)->full_name());
            CHECK(message->field(j)->type() != google::protobuf::FieldDescriptor::TYPE_STRING);
        }
    }
}

// Load: random bytes in all fields of requests, answers and replies.
TEST_CASE("messages carry any bytes unchanged", "[wire]")
{
    const bool holds = rc::check("for any bytes", [](const std::string &bytes) {
        wire::LinkFrame read;
        RC_ASSERT(read.ParseFromString(makeExecute(bytes).SerializeAsString()));
        RC_ASSERT(read.execute().id() == bytes);
        RC_ASSERT(read.execute().fields(0).value() == bytes);
        wire::LinkFrame frame;
        frame.mutable_stop_reply()->set_handover(bytes);
        RC_ASSERT(read.ParseFromString(frame.SerializeAsString()));
        RC_ASSERT(read.stop_reply().handover() == bytes);
    });
    CHECK(holds);
}

// Processes are restarted one after the other, so both versions exchange messages meanwhile.
TEST_CASE("processes of the version with text fields read the same messages", "[wire]")
{
    TextSchema schema;
    const std::string name = wire::LinkFrame::descriptor()->full_name();
    const std::string bytes = makeExecute("S\xc3\xa9n\xc3\xa9gal").SerializeAsString();
    const auto earlier = schema.create(name);
    REQUIRE(earlier->ParseFromString(bytes));
    CHECK(earlier->SerializeAsString() == bytes);
    wire::LinkFrame read;
    CHECK(read.ParseFromString(earlier->SerializeAsString()));
    // That version rejects what it has always rejected.
    CHECK_FALSE(schema.create(name)->ParseFromString(makeExecute("\xe9").SerializeAsString()));
}

} // namespace kumquat
