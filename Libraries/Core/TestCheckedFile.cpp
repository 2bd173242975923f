#include "Libraries/Core/CheckedFile.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

using namespace lavender;

namespace {

struct folder
{
  std::filesystem::path mPath;

  folder()
  {
    std::string name =
      (std::filesystem::temp_directory_path() / "lavender-XXXXXX").string();
    mPath = mkdtemp(name.data());
  }
  ~folder() { std::filesystem::remove_all(mPath); }
  std::string File() const { return (mPath / "file").string(); }
};

std::string
ReadAll(const std::string& aPath)
{
  std::ifstream input(aPath, std::ios::binary);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

void
WriteAll(const std::string& aPath, const std::string& aBytes)
{
  std::ofstream(aPath, std::ios::binary | std::ios::trunc) << aBytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestCheckedFile)

BOOST_AUTO_TEST_CASE(SavesLoadsAndReplacesBytes)
{
  const folder folder;
  BOOST_TEST(!LoadChecked(folder.File()));
  const std::string bytes("a\0b\nc", 5);
  BOOST_TEST(SaveChecked(folder.File(), bytes).empty());
  BOOST_TEST(*LoadChecked(folder.File()) == bytes);
  BOOST_TEST(SaveChecked(folder.File(), "").empty());
  BOOST_TEST(LoadChecked(folder.File())->empty());
  BOOST_TEST(!SaveChecked(folder.File() + "/below", bytes).empty());
}

// A full disk or a bad sector can truncate or corrupt the file. A process that
// started from a partial configuration would accept withdrawn keys again.
BOOST_AUTO_TEST_CASE(RejectsADamagedFile)
{
  const folder folder;
  BOOST_TEST(SaveChecked(folder.File(), "withdrawn").empty());
  const auto whole = ReadAll(folder.File());
  for (std::size_t i = 0; i < whole.size(); ++i) {
    auto damaged = whole;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    WriteAll(folder.File(), damaged);
    BOOST_TEST(!LoadChecked(folder.File()));
    WriteAll(folder.File(), whole.substr(0, i));
    BOOST_TEST(!LoadChecked(folder.File()));
  }
}

BOOST_AUTO_TEST_SUITE_END()
