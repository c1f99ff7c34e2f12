// What the stand-in engines answer, as a function of the request's body.

#ifndef REVIEW_STANDINS_ANSWERS_H_
#define REVIEW_STANDINS_ANSWERS_H_

#include <string>

namespace review {

// A plain answer of some 800 bytes is sent in parts while the engine works for 60 ms.
inline constexpr int kParts = 4;
inline constexpr double kPartMs = 15;

inline std::string PlainPart(const std::string& body, int part) {
  std::string text = "part " + std::to_string(part) + " of the answer to " + body + " ";
  text.resize(199, '.');
  return text + "\n";
}

inline std::string Event(const std::string& body, int number) {
  return "id: " + std::to_string(number) + "\ndata: " + body + " event " + std::to_string(number) +
         "\n\n";
}

inline std::string WholePlain(const std::string& body) {
  std::string text;
  for (int part = 1; part <= kParts; ++part) text += PlainPart(body, part);
  return text;
}

inline std::string WholeStream(const std::string& body, int events, int after = 0) {
  std::string text;
  for (int number = after + 1; number <= events; ++number) text += Event(body, number);
  return text;
}

}  // namespace review

#endif  // REVIEW_STANDINS_ANSWERS_H_
