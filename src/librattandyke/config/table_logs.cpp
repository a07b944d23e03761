#include "config/table_rows.h"

namespace rattandyke::config {

std::vector<Setting>
LogRows()
{
  return {
    { "log",
      "level",
      "",
      "info",
      Reload::AtOnce,
      "Least severity that is written.",
      ChoiceKind{ { "debug", "info", "warning", "error" },
                  [](Settings& aSettings, size_t aChoice) {
                    aSettings.log.level = static_cast<log::Severity>(aChoice);
                  } } },
    { "log",
      "format",
      "",
      "text",
      Reload::AtOnce,
      "Form of a line.",
      ChoiceKind{ { "text", "json" },
                  [](Settings& aSettings, size_t aChoice) {
                    aSettings.log.format = static_cast<log::Format>(aChoice);
                  } } },
    { "log",
      "file",
      "",
      "",
      Reload::AtOnce,
      "Log file; empty: standard error.",
      PathKind{ [](Settings& aSettings, std::string aPath) {
                 aSettings.log.file = std::move(aPath);
               },
                true } },
    { "log",
      "file_bytes",
      "bytes",
      "16777216",
      Reload::AtOnce,
      "Size at which the file is rotated; three old ones are kept.",
      CountKind{
        [](Settings & aSettings) -> auto& { return aSettings.log.fileBytes;
}
, 64 * kKiB, 4 * kGiB
}
}
, { "log",
    "lines_per_second",
    "lines",
    "200",
    Reload::AtOnce,
    "Lines a second of each part; more are counted, not written.",
    CountKind{
      [](Settings & aSettings) -> auto& { return aSettings.log.linesPerSecond;
}
, 1, 1'000'000
}
}
,
}
;
}

std::vector<Setting>
SecretRows()
{
  return {
    { "tokens",
      "NAME",
      "",
      "",
      Reload::AtOnce,
      "One line for each operator's token: who has it, what it allows, and "
      "the token's SHA-256 in hex. None: every call from loopback is allowed.",
      TokensKind{} },
    { "curve",
      "public_key",
      "",
      "",
      Reload::Restart,
      "This host's public key, made by `rattandyke keys new`.",
      CurveKeyKind{
        [](Settings & aSettings) -> auto& { return aSettings.curve.publicKey;
}
}
}
, { "curve",
    "secret_key",
    "",
    "",
    Reload::Restart,
    "This host's secret key. Keep the file readable by its owner only.",
    CurveKeyKind{
      [](Settings & aSettings) -> auto& { return aSettings.curve.secretKey;
}
}
}
, { "curve",
    "peers_public_key",
    "",
    "",
    Reload::Restart,
    "Public key that the other hosts present.",
    CurveKeyKind{
      [](Settings & aSettings) -> auto& { return aSettings.curve.peersPublicKey;
}
}
}
,
}
;
}

} // namespace rattandyke::config
