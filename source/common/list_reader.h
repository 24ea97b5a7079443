#ifndef AMARANTHLANE_COMMON_LIST_READER_H_
#define AMARANTHLANE_COMMON_LIST_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthlane::json {

// What is kept of a value.
enum class SelectionKind : std::uint8_t {
  // A string, number or word of at most kMaxScalarBytes. Any other value becomes null.
  kScalar,
  // A value of any type, unless it exceeds kMaxValues or kMaxWholeBytes: then it becomes null.
  kWhole,
  // The selected members of an object, each where it occurs first. A scalar is kept as by kScalar; an array becomes
  // null.
  kMembers,
  // An array whose elements the reader passes on one by one, each as by the only selected member. Only at the top
  // level.
  kElements,
};

struct SelectedMember;

// Selects what is kept of a JSON value. What isn't selected takes no memory, whatever its size.
struct Selection {
  SelectionKind kind = SelectionKind::kScalar;
  std::vector<SelectedMember> members;
};

struct SelectedMember {
  std::string name;
  Selection value;
};

// Selections of the kinds above.
Selection Whole();
Selection Members(std::vector<SelectedMember> members);
Selection Elements(Selection element);

inline constexpr std::size_t kMaxScalarBytes = 16UL << 10U;
inline constexpr std::size_t kMaxWholeBytes = 2UL << 20U;

// Reads a JSON object that holds lists of entries of several writers, in parts as they arrive. The memory that it takes
// is bounded by one element's selection, however many elements there are, and whatever else they hold. Unreadable
// values are replaced as by ReplaceUnreadableValues, so that an entry doesn't hide the others.
class ListReader {
 public:
  // Receives an element of the list that is the top-level member `list`. It may throw, which ends the reading.
  using ElementCallback = std::function<void(std::string_view list, const nlohmann::json& element)>;

  // `document` names the kind of message in errors.
  ListReader(Selection selection, std::string document, ElementCallback on_element);
  ListReader(const ListReader&) = delete;
  ListReader& operator=(const ListReader&) = delete;

  // Reads the next part. Throws ParseError if the text can't be the beginning of a JSON object. After that, and after
  // an exception of the callback, the reader can't be used.
  void Append(std::string_view part);

  // Ends the reading. Returns the object as selected, with empty lists. Throws ParseError if it isn't complete.
  nlohmann::json Finish();

 private:
  // What may come next in a container that is kept.
  enum class Expected : std::uint8_t { kFirst, kKey, kColon, kValue, kCommaOrEnd };

  // A container that is kept and still open.
  struct Frame {
    const Selection* selection = nullptr;
    bool is_object = false;
    Expected expected = Expected::kFirst;
    bool is_empty = true;
    // The selection of the value that follows the key; null if it isn't kept.
    const Selection* value = nullptr;
    // One bit for each selected member that has occurred.
    std::uint64_t seen = 0;
  };

  enum class Token : std::uint8_t { kNone, kString, kWord };

  std::size_t ReadString(std::string_view part, std::size_t position);
  std::size_t ReadWord(std::string_view part, std::size_t position);
  // Adds bytes to the token that is being read.
  void KeepBytes(std::string_view bytes);
  void ReadStructure(char next);
  void SkipStructure(char next);
  void BeginToken(Token kind);
  void EndToken();
  void EndKey();
  void EndScalar();
  void Open(char bracket);
  void Close(char bracket);
  void Expect(Expected expected, Expected next);

  // Prepares the innermost container for a value. Returns the value's selection; null if it isn't kept.
  const Selection* BeginValue();
  // Writes what separates the next value from the one before it, and its key.
  void WriteSeparator();
  void WriteNull();
  // Whether the innermost container may hold another one that is kept in this way.
  bool KeepsContainer(const Selection& kept, bool is_object) const;
  // Replaces the outermost value that is kept whole by null, as it exceeds a limit, and skips the rest of it.
  void DropWholeValue();
  // Called after each value, kept or not. Passes on an element that is complete.
  void EndValue();
  [[noreturn]] void Fail(const char* expected) const;

  Selection selection;
  std::string document;
  ElementCallback on_element;
  std::vector<Frame> frames;
  // Containers that are open within a value that isn't kept.
  std::size_t skipped_depth = 0;
  // What was kept of the document, and of the element that is being read.
  std::string document_text;
  std::string element_text;
  std::string* output = &this->document_text;
  Token token = Token::kNone;
  std::string token_text;
  bool token_kept = false;
  std::size_t token_limit = 0;
  bool token_too_long = false;
  bool escaped = false;
  // The key of the value that comes next, with its quotes, and the list that is being read.
  std::string key;
  std::string list;
  // The container that is kept whole with all in it: the index of its frame, 0 if there is none, and where it begins in
  // the output.
  std::size_t whole_frame = 0;
  std::size_t whole_begin = 0;
  // The values in such containers of this element.
  std::size_t whole_values = 0;
  bool complete = false;
};

}  // namespace amaranthlane::json

#endif  // AMARANTHLANE_COMMON_LIST_READER_H_
