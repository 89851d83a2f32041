#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

namespace snipespar::net {

/// A message body in a string that grows with what arrives. Unlike Beast's string_body it allocates
/// nothing for a length that the peer has only named. For reading; satisfies Beast's Body.
struct growing_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body)
            : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error)
        {
            error = {};
        }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::beast::error_code& error)
        {
            std::size_t count = 0;
            for (auto item = boost::asio::buffer_sequence_begin(buffers);
                 item != boost::asio::buffer_sequence_end(buffers); ++item) {
                const boost::asio::const_buffer part = *item;
                body_.append(static_cast<const char*>(part.data()), part.size());
                count += part.size();
            }
            error = {};
            return count;
        }

        void finish(boost::beast::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace snipespar::net
