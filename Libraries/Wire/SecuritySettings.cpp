#include "Libraries/Wire/SecuritySettings.h"

namespace lavender::wire {

std::vector<settings::setting>
DeclareSecurity()
{
  return {
    settings::OptionalFile("wire-authority",
                           "Certificate of the authority that signs the "
                           "certificates of the system's own processes, PEM."),
    settings::OptionalFile("wire-certificate",
                           "Certificate that this process presents to the "
                           "system's other processes, PEM."),
    settings::OptionalFile("wire-private-key",
                           "Private key of the wire certificate, PEM."),
  };
}

void
CheckSecurity(const settings::values& aValues, findings& aFindings)
{
  const auto files = ReadSecurity(aValues);
  const bool isComplete = !files.mAuthority.empty() &&
                          !files.mCertificate.empty() &&
                          !files.mPrivateKey.empty();
  const bool isNone = files.mAuthority.empty() && files.mCertificate.empty() &&
                      files.mPrivateKey.empty();
  if (!isComplete && !isNone) {
    aFindings.Add("--wire-authority",
                  "set all of --wire-authority, --wire-certificate and "
                  "--wire-private-key, or none of them");
  }
}

security_files
ReadSecurity(const settings::values& aValues)
{
  return { aValues.Text("wire-authority"),
           aValues.Text("wire-certificate"),
           aValues.Text("wire-private-key") };
}

} // namespace lavender::wire
