/// @file
/// `stoatctl`: command line tool for operators and batch users.
#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>

#include "ctl/control_client.h"
#include "ctl/log_timeline.h"
#include "ctl/manifest.h"
#include "ctl/table.h"

namespace {

namespace json = boost::json;
using stoathold::ControlClient;
using stoathold::ControlReply;
using stoathold::ExitCode;
using stoathold::Manifest;

/// Parsed command line arguments of all subcommands.
struct Arguments {
  std::string server = "127.0.0.1:8080";
  std::string output = "table";
  std::string file;
  std::string kind;
  std::string name;
  std::string tenant = "default";
  std::vector<std::string> files;
  std::uint32_t watch_seconds = 3600;
};

int fail(const ControlReply& reply) {
  std::cerr << "stoatctl: " << reply.message << "\n";
  return static_cast<int>(reply.code);
}

int print_errors(const std::vector<stoathold::ManifestError>& errors) {
  for (const auto& error : errors) std::cerr << stoathold::to_string(error) << "\n";
  return static_cast<int>(ExitCode::kUsage);
}

std::string cell(const json::value& value) {
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Prints the items of a list response as a table with the given columns.
void print_items(const json::value& body, const std::vector<std::string>& columns) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& item : body.at("items").as_array()) {
    std::vector<std::string> row;
    for (const auto& column : columns) {
      const auto* value = item.as_object().if_contains(column);
      row.push_back(value == nullptr ? "" : cell(*value));
    }
    rows.push_back(std::move(row));
  }
  std::cout << stoathold::format_table(columns, rows);
}

int print_reply(const Arguments& arguments, const ControlReply& reply,
                const std::vector<std::string>& columns) {
  if (reply.code != ExitCode::kOk) return fail(reply);
  const bool is_list = reply.body.is_object() && reply.body.get_object().contains("items");
  if (arguments.output == "json" || !is_list) {
    std::cout << json::serialize(reply.body) << "\n";
  } else {
    print_items(reply.body, columns);
  }
  return 0;
}

int run_validate(const Arguments& arguments) {
  std::vector<Manifest> manifests;
  const auto errors = stoathold::read_manifests(arguments.file, manifests);
  if (!errors.empty()) return print_errors(errors);
  std::cout << manifests.size() << " manifests are correct\n";
  return 0;
}

std::vector<stoathold::HttpHeader> job_headers(const std::string& tenant, const std::string& key) {
  return {{"x-tenant", tenant}, {"idempotency-key", key}};
}

ControlReply submit_job(ControlClient& client, const Arguments& arguments,
                        const Manifest& manifest) {
  const std::string& tenant = manifest.tenant.empty() ? arguments.tenant : manifest.tenant;
  return client.call("POST", "/v1/batches", manifest.specification,
                     job_headers(tenant, manifest.name));
}

/// Creates or updates one resource, conditional on its current version. An unchanged resource is
/// not written.
ControlReply apply_resource(ControlClient& client, const Manifest& manifest) {
  const std::string target = "/v1/resources/" + manifest.kind + "/" + manifest.name;
  ControlReply current = client.call("GET", target);
  std::uint64_t version = 0;
  if (current.code == ExitCode::kOk) {
    version = current.body.at("version").to_number<std::uint64_t>();
    const bool same = current.body.at("spec") == json::parse(manifest.specification);
    if (same) return current;
  } else if (current.code == ExitCode::kUnreachable) {
    return current;
  }
  const json::object body{{"version", version}, {"spec", json::parse(manifest.specification)}};
  return client.call("PUT", target, json::serialize(body));
}

int run_apply(const Arguments& arguments) {
  std::vector<Manifest> manifests;
  const auto errors = stoathold::read_manifests(arguments.file, manifests);
  if (!errors.empty()) return print_errors(errors);
  ControlClient client(arguments.server);
  for (const auto& manifest : manifests) {
    const bool job = manifest.kind == stoathold::kBatchJobKind;
    const ControlReply reply =
        job ? submit_job(client, arguments, manifest) : apply_resource(client, manifest);
    if (reply.code != ExitCode::kOk) return fail(reply);
    std::cout << manifest.kind << "/" << manifest.name;
    if (job) {
      std::cout << " accepted as " << cell(reply.body.at("id")) << "\n";
    } else {
      std::cout << " in force at version " << cell(reply.body.at("version")) << "\n";
    }
  }
  return 0;
}

int run_get(const Arguments& arguments) {
  std::string target = "/v1/resources";
  if (!arguments.kind.empty()) target += "/" + arguments.kind;
  if (!arguments.name.empty()) target += "/" + arguments.name;
  ControlClient client(arguments.server);
  return print_reply(arguments, client.call("GET", target), {"kind", "name", "version", "spec"});
}

int run_watch(const Arguments& arguments) {
  ControlClient client(arguments.server);
  const std::string target =
      "/v1/watch?kind=" + arguments.kind + "&seconds=" + std::to_string(arguments.watch_seconds);
  const auto print = [](std::string_view line) {
    std::cout << line << std::endl;
    return true;
  };
  return static_cast<int>(client.follow(target, print));
}

int run_delete(const Arguments& arguments) {
  ControlClient client(arguments.server);
  const std::string target = "/v1/resources/" + arguments.kind + "/" + arguments.name;
  const ControlReply current = client.call("GET", target);
  if (current.code != ExitCode::kOk) return fail(current);
  const std::string version = cell(current.body.at("version"));
  const ControlReply reply = client.call("DELETE", target + "?version=" + version);
  if (reply.code != ExitCode::kOk) return fail(reply);
  std::cout << arguments.kind << "/" << arguments.name << " deleted\n";
  return 0;
}

int run_job_submit(const Arguments& arguments) {
  std::vector<Manifest> manifests;
  const auto errors = stoathold::read_manifests(arguments.file, manifests);
  if (!errors.empty()) return print_errors(errors);
  ControlClient client(arguments.server);
  for (const auto& manifest : manifests) {
    if (manifest.kind != stoathold::kBatchJobKind) continue;
    const ControlReply reply = submit_job(client, arguments, manifest);
    if (reply.code != ExitCode::kOk) return fail(reply);
    std::cout << cell(reply.body.at("id")) << "\n";
  }
  return 0;
}

int run_job_results(const Arguments& arguments) {
  ControlClient client(arguments.server);
  std::uint64_t after = 0;
  bool more = true;
  while (more) {
    const ControlReply reply = client.call(
        "GET", "/v1/batches/" + arguments.name + "/results?after=" + std::to_string(after));
    if (reply.code != ExitCode::kOk) return fail(reply);
    for (const auto& result : reply.body.at("data").as_array()) {
      std::cout << json::serialize(result) << "\n";
    }
    after = reply.body.at("next_after").to_number<std::uint64_t>();
    more = reply.body.at("has_more").as_bool();
  }
  return 0;
}

int run_job(const Arguments& arguments, const std::string& action) {
  ControlClient client(arguments.server);
  const bool cancel = action == "cancel";
  const std::string target = "/v1/batches/" + arguments.name + (cancel ? "/cancel" : "");
  return print_reply(arguments, client.call(cancel ? "POST" : "GET", target), {});
}

int run_explain_logs(const Arguments& arguments) {
  std::vector<stoathold::LogLine> lines;
  if (arguments.files.empty()) lines = stoathold::read_log_lines(std::cin);
  for (const auto& path : arguments.files) {
    std::ifstream file(path);
    if (!file) {
      std::cerr << "stoatctl: cannot read " << path << "\n";
      return static_cast<int>(ExitCode::kUsage);
    }
    const auto found = stoathold::read_log_lines(file);
    lines.insert(lines.end(), found.begin(), found.end());
  }
  const auto timeline = stoathold::find_timeline(lines, arguments.name);
  for (const auto& line : timeline) std::cout << stoathold::format_log_line(line) << "\n";
  if (timeline.empty()) std::cerr << "stoatctl: no line tells of " << arguments.name << "\n";
  return timeline.empty() ? static_cast<int>(ExitCode::kUsage) : 0;
}

int run_explain(const Arguments& arguments) {
  ControlClient client(arguments.server);
  const ControlReply reply = client.call("GET", "/v1/explain/" + arguments.name);
  if (reply.code != ExitCode::kOk || arguments.output == "json")
    return print_reply(arguments, reply, {});
  for (const auto& line : reply.body.at("history").as_array()) std::cout << cell(line) << "\n";
  return 0;
}

int run_nodes(const Arguments& arguments) {
  ControlClient client(arguments.server);
  return print_reply(arguments, client.call("GET", "/v1/nodes"),
                     {"name", "region", "zone", "state", "liveness", "peer_address"});
}

void add_name(CLI::App* command, Arguments& arguments, const char* help) {
  command->add_option("name", arguments.name, help)->required();
}

void add_commands(CLI::App& app, Arguments& arguments) {
  auto* validate = app.add_subcommand("validate", "Validate a manifest file");
  auto* apply = app.add_subcommand("apply", "Apply a manifest file");
  for (auto* command : {validate, apply}) {
    command->add_option("file", arguments.file, "YAML file")->required();
  }
  auto* get = app.add_subcommand("get", "Show resources");
  get->add_option("kind", arguments.kind, "Service, Model, PriorityClass or Tenant");
  get->add_option("name", arguments.name, "Name of one resource");
  auto* watch = app.add_subcommand("watch", "Stream changes of resources");
  watch->add_option("kind", arguments.kind, "Only this kind");
  watch->add_option("--seconds", arguments.watch_seconds, "Stop after this many seconds");
  auto* remove = app.add_subcommand("delete", "Delete a resource");
  remove->add_option("kind", arguments.kind)->required();
  remove->add_option("name", arguments.name)->required();
  auto* job = app.add_subcommand("job", "Batch jobs");
  job->require_subcommand(1);
  job->add_subcommand("submit", "Submit the jobs of a manifest file")
      ->add_option("file", arguments.file, "YAML file")
      ->required();
  for (const char* action : {"status", "cancel", "results"}) {
    add_name(job->add_subcommand(action, "Job's " + std::string(action)), arguments, "batch_...");
  }
  add_name(app.add_subcommand("explain", "Why a request ran where it did, waited or was refused"),
           arguments, "chatcmpl-...");
  auto* explain_logs = app.add_subcommand(
      "explain-logs", "Timeline of a request, item or job from the log files of nodes");
  explain_logs->add_option("id", arguments.name, "Id of the request, item or job")->required();
  explain_logs->add_option("files", arguments.files, "Log files; standard input if none are given");
  app.add_subcommand("nodes", "List the members as this node sees them");
  app.add_subcommand("version", "Print the version");
}

int dispatch(const CLI::App& app, const Arguments& arguments) {
  const auto* command = app.get_subcommands().front();
  const std::string name = command->get_name();
  if (name == "validate") return run_validate(arguments);
  if (name == "apply") return run_apply(arguments);
  if (name == "get") return run_get(arguments);
  if (name == "watch") return run_watch(arguments);
  if (name == "delete") return run_delete(arguments);
  if (name == "explain") return run_explain(arguments);
  if (name == "explain-logs") return run_explain_logs(arguments);
  if (name == "nodes") return run_nodes(arguments);
  if (name == "version") {
    std::cout << "stoatctl " << STOATHOLD_VERSION << "\n";
    return 0;
  }
  const std::string action = command->get_subcommands().front()->get_name();
  if (action == "submit") return run_job_submit(arguments);
  if (action == "results") return run_job_results(arguments);
  return run_job(arguments, action);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"Command line tool of stoathold for operators and batch users."};
  Arguments arguments;
  app.add_option("--server", arguments.server, "Address of the node, ip:port")
      ->envname("STOATHOLD_SERVER");
  app.add_option("-o,--output", arguments.output)->check(CLI::IsMember({"table", "json"}));
  app.add_option("--tenant", arguments.tenant, "Tenant on whose behalf jobs are submitted");
  app.require_subcommand(1);
  app.fallthrough();
  add_commands(app, arguments);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? 0 : static_cast<int>(ExitCode::kUsage);
  }
  return dispatch(app, arguments);
}
