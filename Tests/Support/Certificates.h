#pragma once

#include <string>

namespace lavender::test {

/** A temporary folder with a new certificate authority and one certificate
 * signed by it; removed with the object. */
class certificates
{
public:
  certificates();
  ~certificates();
  certificates(const certificates&) = delete;
  certificates& operator=(const certificates&) = delete;

  std::string Authority() const { return mFolder + "/authority.pem"; }
  std::string Certificate() const { return mFolder + "/certificate.pem"; }
  std::string PrivateKey() const { return mFolder + "/key.pem"; }

private:
  std::string mFolder;
};

} // namespace lavender::test
