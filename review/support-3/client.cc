// One HTTP call, and what became of it, as one line of text.
//
// usage: client put IP:PORT METHOD TARGET BODY      prints the status
//        client get IP:PORT METHOD TARGET BODY      prints the status and the answer
//        client call IP:PORT METHOD TARGET ID       a requester's call; prints what it got
//        client order IP:PORT INSTANCE - BODY  an order that is carried out late

#include "net.hh"

#include <cstdio>

int main(int argc, char** argv)
{
    if (argc != 6) {
        return 2;
    }
    const std::string mode = argv[1];
    const std::string address = argv[2];
    if (mode == "put" || mode == "get") {
        const auto reply = peer::call(
            address, peer::plain_request(argv[3], argv[4], "Host: store\r\n", argv[5]), 5);
        std::printf("%d\n%s", reply.status, mode == "get" ? (reply.body + "\n").c_str() : "");
        return reply.status >= 200 && reply.status < 300 ? 0 : 1;
    }
    if (mode == "order") {
        const std::string instance = argv[3];
        const auto reply = peer::call(
            address,
            peer::plain_request(
                "POST", "/order",
                "Host: engine\r\nContent-Type: application/json\r\n" +
                    (instance == "-" ? std::string() : "Expect-Instance: " + instance + "\r\n"),
                argv[5]),
            5);
        std::printf("%d\n", reply.status);
        return 0;
    }
    const std::string id = argv[5];
    const auto reply = peer::call(
        address,
        peer::plain_request(argv[3], argv[4],
                            "Host: a.example\r\nRequest-Id: " + id +
                                "\r\nDeadline-Ms: 4000\r\nAuthorization: Token key-1\r\n",
                            "body of " + id),
        8);
    std::printf("%s: status=%d seal=%s framing=%s end=\"%s\" complete=%s body=%zu bytes\n",
                id.c_str(), reply.status,
                peer::field(reply.head, "Response-Seal").empty() ? "no" : "yes",
                reply.framing.c_str(), reply.end.c_str(), reply.is_complete ? "yes" : "no",
                reply.body.size());
    return 0;
}
