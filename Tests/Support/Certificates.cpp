#include "Tests/Support/Certificates.h"

#include <cstdio>
#include <filesystem>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdexcept>
#include <stdlib.h>

namespace lavender::test {
namespace {

using key_pointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_pointer = std::unique_ptr<X509, decltype(&X509_free)>;

constexpr long kValidSeconds = 24 * 3600;

key_pointer
MakeKey()
{
  return { EVP_EC_gen("P-256"), &EVP_PKEY_free };
}

/** Creates a certificate for the key, signed with the issuer's key, or
 * self-signed without an issuer. */
certificate_pointer
MakeCertificate(EVP_PKEY* aKey,
                const char* aName,
                X509* aIssuer,
                EVP_PKEY* aIssuerKey)
{
  certificate_pointer made(X509_new(), &X509_free);
  X509_set_version(made.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(made.get()), aIssuer ? 2 : 1);
  X509_gmtime_adj(X509_getm_notBefore(made.get()), -60);
  X509_gmtime_adj(X509_getm_notAfter(made.get()), kValidSeconds);
  X509_set_pubkey(made.get(), aKey);
  X509_NAME* name = X509_get_subject_name(made.get());
  X509_NAME_add_entry_by_txt(name,
                             "CN",
                             MBSTRING_ASC,
                             reinterpret_cast<const unsigned char*>(aName),
                             -1,
                             -1,
                             0);
  X509_set_issuer_name(made.get(),
                       aIssuer ? X509_get_subject_name(aIssuer) : name);
  X509_EXTENSION* constraint = X509V3_EXT_conf_nid(
    nullptr, nullptr, NID_basic_constraints, aIssuer ? "CA:FALSE" : "CA:TRUE");
  X509_add_ext(made.get(), constraint, -1);
  X509_EXTENSION_free(constraint);
  X509_sign(made.get(), aIssuer ? aIssuerKey : aKey, EVP_sha256());
  return made;
}

template<typename Writer>
void
WriteFile(const std::string& aPath, const Writer& aWriter)
{
  std::unique_ptr<FILE, decltype(&fclose)> file(fopen(aPath.c_str(), "w"),
                                                &fclose);
  if (!file || aWriter(file.get()) != 1) {
    throw std::runtime_error("can't write file " + aPath);
  }
}

} // namespace

certificates::certificates()
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "lavender-XXXXXX").string();
  if (!mkdtemp(folder.data())) {
    throw std::runtime_error(
      "can't create a temporary folder for the certificates");
  }
  mFolder = folder;
  const auto authorityKey = MakeKey();
  const auto key = MakeKey();
  const auto authority =
    MakeCertificate(authorityKey.get(), "authority", nullptr, nullptr);
  const auto certificate = MakeCertificate(
    key.get(), "127.0.0.1", authority.get(), authorityKey.get());
  WriteFile(Authority(), [&](FILE* aFile) {
    return PEM_write_X509(aFile, authority.get());
  });
  WriteFile(Certificate(), [&](FILE* aFile) {
    return PEM_write_X509(aFile, certificate.get());
  });
  WriteFile(PrivateKey(), [&](FILE* aFile) {
    return PEM_write_PrivateKey(
      aFile, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
  });
}

certificates::~certificates()
{
  std::error_code ignored;
  std::filesystem::remove_all(mFolder, ignored);
}

} // namespace lavender::test
