#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstdint>
#include <string>

namespace tarragonlock
{

/// Body type of requests for Beast. Unlike string_body it allocates memory as bytes arrive, not the
/// announced length at once.
struct received_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template<bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error)
        {
            error = {};
        }
        template<class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t added = 0;
            for (auto each = boost::asio::buffer_sequence_begin(buffers);
                 each != boost::asio::buffer_sequence_end(buffers); ++each)
            {
                const boost::asio::const_buffer part = *each;
                body_.append(static_cast<const char*>(part.data()), part.size());
                added += part.size();
            }
            return added;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& body_;
    };
};

} // namespace tarragonlock
