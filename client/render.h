// Tables for people.

#ifndef CLIENT_RENDER_H_
#define CLIENT_RENDER_H_

#include <string>
#include <vector>

namespace quartzhoist::client {

using Line = std::vector<std::string>;

// Columns padded to their widest cell, the first line as the head.
std::string RenderTable(const std::vector<Line>& lines);

}  // namespace quartzhoist::client

#endif  // CLIENT_RENDER_H_
